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

// source is a parsed file, with which the line of a field can be found.
type source struct {
	file string
	root hujson.Value
	// newlines contains the offsets of the newline characters.
	newlines []int
}

// fault is a Diagnostic that has an offset in the file in place of a line.
type fault struct {
	offset int
	field  string
	reason string
}

// parse parses JSON with comments and trailing commas.
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

// invalidOffset returns the offset of the first byte that is not part of valid
// UTF-8.
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

// syntaxError returns the diagnostic for an error of the parser. It takes the line
// and the reason from the text of the error.
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

// line returns the line, counted from 1, that contains an offset.
func (s *source) line(offset int) int {
	return 1 + sort.SearchInts(s.newlines, offset)
}

// indexPattern matches the list indexes in the path of a field.
var indexPattern = regexp.MustCompile(`\[(\d+)\]`)

// lineOf returns the line of a field. If the field is not in the file, it returns
// the line of the innermost enclosing field that is.
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

// checkError returns the problems that the checker found as an *Error, nil if there
// are none.
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

// faultError returns faults as an *Error, nil if there are none.
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

// text returns the source text of a literal, shortened to 40 bytes.
func text(v *hujson.Value) string {
	const limit = 40
	raw := bytes.TrimSpace(v.Pack())
	if len(raw) > limit {
		return string(raw[:limit]) + "..."
	}
	return string(raw)
}
