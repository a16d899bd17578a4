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
}

// ErrPauseTooLong reports a pause longer than MaxPause, which was shortened.
var ErrPauseTooLong = errors.New("pause is longer than the longest that is granted")

// ParseAnnouncement returns what an answer with a status and headers announces.
// leavingHeader is the name of the header with which a process announces that it is
// leaving. A pause is asked for only by status 503. The error reports a header that is
// invalid and was ignored, or a pause that was shortened.
func ParseAnnouncement(now time.Time, status int, header http.Header, leavingHeader string) (Announcement, error) {
	a := Announcement{
		Leaving: leavingHeader != "" && header.Get(leavingHeader) == announces,
	}
	text := header.Get(headerRetryAfter)
	if text == "" || status != http.StatusServiceUnavailable {
		return a, nil
	}
	pause, err := parseRetryAfter(now, text)
	if err != nil {
		return a, err
	}
	if pause > MaxPause {
		a.Pause = MaxPause
		return a, fmt.Errorf("header %s: %q: %w, %v", headerRetryAfter, text, ErrPauseTooLong, MaxPause)
	}
	a.Pause = pause
	return a, nil
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
