package scatterer

import "plantaincleat/entryd/pkg/httpsender"

// keepStream keeps an answer, which may be nil, if a part of it has not been read yet. On a route
// over shards such an answer is of no use, and its stream is closed at once.
func (j *job) keepStream(answer *httpsender.Answer) {
	switch {
	case answer == nil || answer.Rest == nil:
	case j.route.Scattered():
		_ = answer.Rest.Close()
	default:
		j.streams = append(j.streams, answer)
	}
}

// finish closes the streams of all answers but one, which may be nil, those that come later
// included. A target may send bytes without end until its connection is closed.
func (j *job) finish(used *httpsender.Answer) {
	for _, answer := range j.streams {
		if answer != used {
			_ = answer.Rest.Close()
		}
	}
	j.finished.Store(true)
	j.closeUnread()
}

// closeUnread closes the streams of the answers that the job has not read.
func (j *job) closeUnread() {
	for {
		select {
		case e := <-j.events:
			if e.answer != nil && e.answer.Rest != nil {
				_ = e.answer.Rest.Close()
			}
		default:
			return
		}
	}
}
