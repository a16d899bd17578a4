package httpresponder

// Fault is the way in which a target mishandles a request.
type Fault int

// Faults of a target.
const (
	// NoFault executes the request and answers it.
	NoFault Fault = iota
	// Shed answers 503 and reports that the request was not executed.
	Shed
	// Reset executes the request and aborts the connection without an answer.
	Reset
	// Truncate closes the connection after half of the body.
	Truncate
	// ExtraAnswer sends the complete answer twice.
	ExtraAnswer
	// MismatchedAnswer sends an answer to another request before the right one.
	MismatchedAnswer
	// NoContentLength answers without Content-Length and ends the body by closing
	// the connection.
	NoContentLength
	// ServerError executes the request and sends a signed answer with status 500.
	ServerError
	// Unsigned executes the request and answers without a signature.
	Unsigned
	// Unresponsive executes the request and never answers.
	Unresponsive
	// Endless executes the request and sends the bytes of SetEndless until the caller closes
	// the connection.
	Endless
	// TruncateHead closes the connection after half of the head of the answer.
	TruncateHead
	// StrayRefusal sends a refusal without an id before the answer.
	StrayRefusal
)
