// Package loadreader reads what targets tell of their load in a header of their answers.
package loadreader

import (
	"fmt"
	"strconv"
	"strings"

	"plantaincleat/entryd/pkg/estimator"
)

// Positions of the figures in the header. The last may be absent.
const (
	running = iota
	waiting
	slots
	pace
	figures
)

const (
	// maxCount is the greatest number of requests or slots that is believed.
	maxCount = 1_000_000
	// usualPace is the figure of a target at which work takes as long as usual. maxPace is the
	// greatest figure that is believed.
	usualPace = 100
	maxPace   = 100_000
	// maxQuoted is the number of bytes of a bad header that an error quotes.
	maxQuoted = 60
)

// Read returns the load that the values of the header tell: requests running, requests
// waiting, slots and, if it is there, how long work takes there now, where 100 is as usual.
// It returns false without an error if there is no such header.
func Read(values []string) (estimator.Report, bool, error) {
	switch len(values) {
	case 0:
		return estimator.Report{}, false, nil
	case 1:
	default:
		return estimator.Report{}, false, fmt.Errorf("load is told %d times in one answer", len(values))
	}
	var counts [figures]float64
	n, rest, more := 0, values[0], true
	for more {
		var field string
		field, rest, more = strings.Cut(rest, ",")
		if n == figures {
			return invalid(values[0], "too many figures")
		}
		v, err := parseFigure(n, strings.TrimSpace(field))
		if err != nil {
			return invalid(values[0], err.Error())
		}
		counts[n] = v
		n++
	}
	if n < pace {
		return invalid(values[0], "too few figures")
	}
	return estimator.Report{
		Running: uint32(counts[running]),
		Queue:   uint32(counts[waiting]),
		Pace:    counts[pace] / usualPace,
	}, true, nil
}

// parseFigure returns the figure at a position, which is a whole number but for the pace.
func parseFigure(position int, text string) (float64, error) {
	if position == pace {
		v, err := strconv.ParseFloat(text, 64)
		// The comparison is false for what is not a number.
		if err != nil || !(v > 0 && v <= maxPace) {
			return 0, fmt.Errorf("pace is not a number above 0 and up to %d", maxPace)
		}
		return v, nil
	}
	v, err := strconv.ParseUint(text, 10, 32)
	if err != nil || v > maxCount || position == slots && v == 0 {
		return 0, fmt.Errorf("figure %d is not a whole number up to %d", position+1, maxCount)
	}
	return float64(v), nil
}

func invalid(value, problem string) (estimator.Report, bool, error) {
	if len(value) > maxQuoted {
		value = value[:maxQuoted]
	}
	return estimator.Report{}, false, fmt.Errorf("load %q: %s", value, problem)
}
