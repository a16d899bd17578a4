package scatterer

import (
	"fmt"
	"time"

	"plantaincleat/entryd/pkg/router"
	"plantaincleat/tier/gen/peer"
)

// acceptOwner processes the acknowledgement of an owner, unless its units were sent
// elsewhere in the meantime. An owner makes second attempts only after it was told
// that it is accepted.
func (j *job) acceptOwner(a *attempt) {
	if a.withdrawn {
		return
	}
	a.accepted = true
	j.query.RecordAccepted(a.nonce)
	a.sendAccepted()
}

// handleReply processes the reply or the failure of an owner.
func (j *job) handleReply(e event, now time.Time) {
	a := e.attempt
	if e.err != nil {
		a.log.Result = e.err.Error()
		j.apply(j.query.FailAttempt(a.nonce, a.ownerFailureReason(e.err), now))
		return
	}
	j.recordLoads(a, e.reply, now)
	j.recordEnded(a, e.reply)
	j.recordWithheld(a, e.reply, now)
	covered := j.storeReply(a, e.reply)
	if e.answer != nil && !j.route.Scattered() {
		covered = j.storeRelayed(a, e)
	}
	if !e.last {
		j.apply(j.query.RecordPartial(a.nonce, covered, now))
		return
	}
	a.log.Result = describeReply(e.reply)
	a.notExecuted = e.reply.GetUntouched()
	var missing []router.MissingUnit
	for _, l := range e.reply.GetLacks() {
		if int(l.GetShard()) < len(a.units) {
			missing = append(missing, router.MissingUnit{
				Unit:   a.units[l.GetShard()],
				Reason: l.GetReason(),
				// Never more than int holds, and the router bounds it.
				Executions: int(l.GetExecutions()),
			})
		}
	}
	if !j.route.Scattered() && e.answer == nil && len(missing) == 0 {
		// A daemon of a build before relays serves the request and does not pass the answer on.
		missing = append(missing, router.MissingUnit{
			Unit:   a.units[0],
			Reason: peer.Reason_REASON_FAILED,
		})
	}
	j.apply(j.query.Answer(a.nonce, covered, missing, true, now))
}

// storeReply stores the partial of a reply and returns its units. It returns nil if
// the reply is inconsistent or not used.
func (j *job) storeReply(a *attempt, reply *peer.ScatterReply) []int {
	if !j.query.Pending(a.nonce) || len(reply.GetCovered()) != len(reply.GetSignatures()) {
		return nil
	}
	p := &partial{
		signatures: decodeSignatures(reply.GetSignatures()),
		records:    reply.GetRecords(),
	}
	for _, index := range reply.GetCovered() {
		if int(index) >= len(a.units) {
			return nil
		}
		p.units = append(p.units, a.units[index])
	}
	if len(p.units) == 0 || !j.answers.add(p) {
		return nil
	}
	return p.units
}

// describeReply describes the last reply of an owner for logs: for how many units it has no
// answer, and what it says of the first of them.
func describeReply(reply *peer.ScatterReply) string {
	lacks := reply.GetLacks()
	if len(lacks) == 0 {
		return "replied"
	}
	return fmt.Sprintf("replied, %d without answer: %s, executions up to %d", len(lacks), lacks[0].GetReason(), lacks[0].GetExecutions())
}
