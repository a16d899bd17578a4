package scatterer

import (
	"time"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/entryd/pkg/estimator"
	"plantaincleat/entryd/pkg/httpsender"
	"plantaincleat/entryd/pkg/loadreader"
)

// plainIncarnation is the incarnation in the reports of targets of plain requests. Each
// process of such a target has an estimator of its own.
const plainIncarnation = 1

// report returns what an answer tells of the load of its target. told is false if that is
// nothing. request is the id of the request that was answered.
func (s *Scatterer) report(target *cataloger.Target, answer *httpsender.Answer, request string) (r estimator.Report, told bool) {
	if answer != nil && s.LoadHeader != "" {
		var err error
		r, told, err = loadreader.Read(answer.Header.Values(s.LoadHeader))
		if err != nil {
			s.Catalogs.Withholder().RecordInvalid(target.Process(), target.State(), err, request)
		}
	}
	r.Incarnation = plainIncarnation
	return r, told
}

// recordProbedLoad records what the answer of a target to a probe tells of its load.
func (s *Scatterer) recordProbedLoad(now time.Time, target *cataloger.Target, answer *httpsender.Answer, request string) {
	if r, told := s.report(target, answer, request); told {
		target.Estimator().Observe(now, r)
	}
}
