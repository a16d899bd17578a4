// Package loader reads settings and configurations from files in JSON with
// comments and trailing commas. It refuses files that do not match the schema or
// fail validation, and reports the file, line and field of each fault.
package loader

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/settings"
	"plantaincleat/tier/pkg/checker"
)

// maxFileBytes is the size of the largest file that is read.
const maxFileBytes = 64 << 20

// Diagnostic describes one fault in a file.
type Diagnostic struct {
	File string
	// Line is the line of the fault, counted from 1. Zero means that the fault
	// concerns no particular line.
	Line int
	// Field is the path of the field with the fault, such as
	// collections[0].versions[1].name. It is empty if there is none.
	Field  string
	Reason string
}

// String returns "file:line: field: reason", without a line of zero or an empty
// field.
func (r Diagnostic) String() string {
	position := r.File
	if r.Line > 0 {
		position = fmt.Sprintf("%s:%d", r.File, r.Line)
	}
	if r.Field == "" {
		return position + ": " + r.Reason
	}
	return position + ": " + r.Field + ": " + r.Reason
}

// Error reports all faults that were found in a file, at least one.
type Error struct {
	Diagnostics []Diagnostic
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Diagnostics))
	for _, r := range e.Diagnostics {
		lines = append(lines, r.String())
	}
	return strings.Join(lines, "\n")
}

// LoadConfig reads a configuration from a file and validates it. It reports faults
// in the content as an *Error.
func LoadConfig(file string) (*config.Config, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseConfig(file, data)
}

// ParseConfig is like LoadConfig for data that has already been read. file is only
// used in errors.
func ParseConfig(file string, data []byte) (*config.Config, error) {
	cfg := &config.Config{}
	source, err := decode(file, data, cfg)
	if err != nil {
		return nil, err
	}
	if err := source.checkError(checker.Config(cfg)); err != nil {
		return nil, err
	}
	return cfg, nil
}

// LoadSettings reads the settings of a daemon from a file and validates them. It
// reports faults in the content as an *Error.
func LoadSettings(file string) (*settings.Entryd, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseSettings(file, data)
}

// ParseSettings is like LoadSettings for data that has already been read. file is
// only used in errors. The files named in the settings must be readable.
func ParseSettings(file string, data []byte) (*settings.Entryd, error) {
	s := &settings.Entryd{}
	source, err := decode(file, data, s)
	if err != nil {
		return nil, err
	}
	if err := source.checkError(checker.Settings(s, readable)); err != nil {
		return nil, err
	}
	return s, nil
}

// read returns the content of a file. It refuses files larger than maxFileBytes.
func read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	if len(data) > maxFileBytes {
		return nil, newError(Diagnostic{
			File:   file,
			Reason: fmt.Sprintf("file is larger than %d bytes", maxFileBytes),
		})
	}
	return data, nil
}

// readable returns the error of opening a file, nil if the file can be read.
func readable(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	return f.Close()
}

// decode parses data into m. It refuses unknown and repeated fields and values of
// the wrong type.
func decode(file string, data []byte, m proto.Message) (*source, error) {
	s, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	v := validator{}
	v.checkMessage("", &s.root, m.ProtoReflect().Descriptor())
	if err := s.faultError(v.faults); err != nil {
		return nil, err
	}
	standard := s.root.Clone()
	standard.Standardize()
	if err := protojson.Unmarshal(standard.Pack(), m); err != nil {
		return nil, newError(Diagnostic{
			File:   file,
			Reason: "bad value: " + err.Error(),
		})
	}
	return s, nil
}

func newError(r Diagnostic) *Error {
	return &Error{Diagnostics: []Diagnostic{r}}
}
