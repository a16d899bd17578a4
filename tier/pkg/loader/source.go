package loader

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"plantaincleat/tier/pkg/checker"
)

// source is a parsed file that knows the line of each field.
type source struct {
	file string
	root hujson.Value
	// newlines are the offsets of the line ends.
	newlines []int
}

// fault is a Refusal before its offset is turned into a line.
type fault struct {
	offset int
	field  string
	reason string
}

// parse reads JSON with comments.
func parse(file string, data []byte) (*source, error) {
	s := &source{file: file}
	for i, b := range data {
		if b == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	if !utf8.Valid(data) {
		return nil, newError(Diagnostic{
			File:   file,
			Line:   s.line(invalidOffset(data)),
			Reason: "syntax: not UTF-8",
		})
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, newError(s.syntaxError(err))
	}
	s.root = root
	return s, nil
}

// invalidOffset returns the offset of the first byte that is not UTF-8.
func invalidOffset(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(data)
}

// syntaxError splits a parser's error into its line and its reason.
func (s *source) syntaxError(err error) Diagnostic {
	r := Diagnostic{
		File:   s.file,
		Reason: "syntax: " + strings.TrimPrefix(err.Error(), "hujson: "),
	}
	var column int
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &r.Line, &column); scanErr != nil {
		return r
	}
	_, reason, _ := strings.Cut(err.Error(), fmt.Sprintf("column %d: ", column))
	r.Reason = fmt.Sprintf("syntax: column %d: %s", column, reason)
	return r
}

// line returns the line of an offset.
func (s *source) line(offset int) int {
	return 1 + sort.SearchInts(s.newlines, offset)
}

// indexPattern matches the list indexes of a path.
var indexPattern = regexp.MustCompile(`\[(\d+)\]`)

// lineOf returns the line of a field, or that of the nearest one around it
// if the field is not in the file.
func (s *source) lineOf(field string) int {
	pointer := ""
	if field != "" {
		pointer = "/" + strings.ReplaceAll(indexPattern.ReplaceAllString(field, "/$1"), ".", "/")
	}
	for pointer != "" {
		if v := s.root.Find(pointer); v != nil {
			return s.line(v.StartOffset)
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return s.line(s.root.StartOffset)
}

// checkError turns the problems of a check into an error, nil if there are none.
func (s *source) checkError(problems []checker.Problem) error {
	diagnostics := make([]Diagnostic, 0, len(problems))
	for _, p := range problems {
		diagnostics = append(diagnostics, Diagnostic{
			File:   s.file,
			Line:   s.lineOf(p.Field),
			Field:  p.Field,
			Reason: p.Reason,
		})
	}
	return newDiagnosticsError(diagnostics)
}

// faultError turns faults into an error, nil if there are none.
func (s *source) faultError(faults []fault) error {
	diagnostics := make([]Diagnostic, 0, len(faults))
	for _, f := range faults {
		diagnostics = append(diagnostics, Diagnostic{
			File:   s.file,
			Line:   s.line(f.offset),
			Field:  f.field,
			Reason: f.reason,
		})
	}
	return newDiagnosticsError(diagnostics)
}

func newDiagnosticsError(diagnostics []Diagnostic) error {
	if len(diagnostics) == 0 {
		return nil
	}
	sort.SliceStable(diagnostics, func(i, j int) bool {
		return diagnostics[i].Line < diagnostics[j].Line
	})
	return &Error{Diagnostics: diagnostics}
}

// kindName names the kind of a JSON value.
func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "a boolean"
	}
}

// text returns the source text of a literal, shortened.
func text(v *hujson.Value) string {
	const limit = 40
	raw := bytes.TrimSpace(v.Pack())
	if len(raw) > limit {
		return string(raw[:limit]) + "..."
	}
	return string(raw)
}
