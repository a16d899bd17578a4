package scatterer

import "plantaincleat/entryd/pkg/httpsender"

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
