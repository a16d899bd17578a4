package crashtracker

import (
	"encoding/binary"
	"strconv"

	"plantaincleat/entryd/pkg/quarantiner"
)

// Subject identifies a request across its sends, by its content and its caller.
type Subject struct {
	// content is the fingerprint of the content alone, and caller that of the content
	// with the caller.
	content, caller uint64
}

// NewSubject returns the Subject of a request. parts are its contents in a fixed order.
func NewSubject(caller string, parts ...[]byte) Subject {
	content := quarantiner.Fingerprint("", parts...)
	return Subject{
		content: content,
		caller:  quarantiner.Fingerprint(caller, binary.BigEndian.AppendUint64(nil, content)),
	}
}

// SubjectOf returns the Subject with the fingerprints that Content and Caller return.
func SubjectOf(content, caller uint64) Subject {
	return Subject{
		content: content,
		caller:  caller,
	}
}

// fingerprintBase is the base in which fingerprints are logged.
const fingerprintBase = 16

// String returns the fingerprint of the content with its caller, as used in logs.
func (s Subject) String() string { return strconv.FormatUint(s.caller, fingerprintBase) }

// ContentString returns the fingerprint of the content alone, as used in logs.
func (s Subject) ContentString() string { return strconv.FormatUint(s.content, fingerprintBase) }

// Content returns the fingerprint of the content.
func (s Subject) Content() uint64 { return s.content }

// Caller returns the fingerprint of the content with its caller.
func (s Subject) Caller() uint64 { return s.caller }
