package withholder

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// headerRetryAfter carries the pause that a target asks for: seconds, which may be a
// fraction, or an HTTP date.
const headerRetryAfter = "Retry-After"

// announces is the value of the header with which a process announces that it is
// leaving.
const announces = "1"

// Announcement is what an answer says of the target that sent it.
type Announcement struct {
	// Leaving is true if the process is leaving.
	Leaving bool
	// Pause is the time for which the target wants no requests, at most MaxPause. It is
	// zero if the answer asks for none.
	Pause time.Duration
	// Limit is the number of requests a second that the target takes from all daemons
	// together. It is zero if the answer names none.
	Limit float64
	// Cold is the time for which the target stays cold, at most MaxPause. It is zero if the
	// answer does not say that it is cold.
	Cold time.Duration
}

// Headers names the headers in which targets announce what has no header of HTTP. An empty
// name means that there is none.
type Headers struct {
	// Leaving is the header with which a process announces that it is leaving.
	Leaving string
	// Limit is the header in which a process names its limit, a decimal number.
	Limit string
	// Cold is the header in which a process names the time for which it stays cold, a number
	// of milliseconds.
	Cold string
}

// ErrPauseTooLong reports a pause longer than MaxPause, which was shortened.
var ErrPauseTooLong = errors.New("pause is longer than the longest that is granted")

// ParseAnnouncement returns what an answer with a status and headers announces. A pause is
// asked for only by status 503. The error reports headers that are invalid and were ignored,
// a pause that was shortened, or a limit that was raised.
func ParseAnnouncement(now time.Time, status int, header http.Header, names Headers) (Announcement, error) {
	a := Announcement{
		Leaving: names.Leaving != "" && header.Get(names.Leaving) == announces,
	}
	var limitErr, coldErr, pauseErr error
	if text := header.Get(names.Limit); names.Limit != "" && text != "" {
		a.Limit, limitErr = parseLimit(text)
	}
	if text := header.Get(names.Cold); names.Cold != "" && text != "" {
		a.Cold, coldErr = parseCold(names.Cold, text)
	}
	if text := header.Get(headerRetryAfter); status == http.StatusServiceUnavailable && text != "" {
		a.Pause, pauseErr = parsePause(now, text)
	}
	return a, errors.Join(limitErr, coldErr, pauseErr)
}

// parseCold returns the time for which a process stays cold by its header, at most MaxPause.
func parseCold(name, text string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(text, 64)
	// The comparison is false for what is not a number.
	if err != nil || !(ms >= 0) {
		return 0, fmt.Errorf("header %s: %q is not a number of milliseconds", name, text)
	}
	return time.Duration(min(ms, float64(MaxPause.Milliseconds())) * float64(time.Millisecond)), nil
}

// parsePause returns the pause that a Retry-After header asks for, at most MaxPause.
func parsePause(now time.Time, text string) (time.Duration, error) {
	pause, err := parseRetryAfter(now, text)
	if err == nil && pause > MaxPause {
		return MaxPause, fmt.Errorf("header %s: %q: %w, %v", headerRetryAfter, text, ErrPauseTooLong, MaxPause)
	}
	return pause, err
}

// parseRetryAfter returns the duration that a Retry-After header states. A date that has
// passed is zero.
func parseRetryAfter(now time.Time, text string) (time.Duration, error) {
	if at, err := http.ParseTime(text); err == nil {
		return max(at.Sub(now), 0), nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) {
		return 0, fmt.Errorf("header %s: %q is neither a number of seconds nor an HTTP date", headerRetryAfter, text)
	}
	if seconds < 0 {
		return 0, fmt.Errorf("header %s: %q is negative", headerRetryAfter, text)
	}
	// Durations beyond the range of the type are longer than MaxPause as well.
	return time.Duration(min(seconds, 2*MaxPause.Seconds()) * float64(time.Second)), nil
}
