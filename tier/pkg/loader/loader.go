// Package loader reads settings and configurations written in JSON with
// comments and trailing commas. It refuses what the schema does not allow,
// with the file, line and field of each fault.
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

// fileLimit is the size in bytes of the largest file that is read.
const fileLimit = 64 << 20

// Refusal is one fault of a file.
type Refusal struct {
	File string
	// Line counts from 1. Zero means that the fault has no place.
	Line int
	// Field is a path such as collections[0].versions[1].name.
	Field  string
	Reason string
}

// String returns "file:line: field: reason".
func (r Refusal) String() string {
	place := r.File
	if r.Line > 0 {
		place = fmt.Sprintf("%s:%d", r.File, r.Line)
	}
	if r.Field == "" {
		return place + ": " + r.Reason
	}
	return place + ": " + r.Field + ": " + r.Reason
}

// Error holds all faults that were found in a file, one or more.
type Error struct {
	Refusals []Refusal
}

// Error returns one line for each fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Refusals))
	for _, r := range e.Refusals {
		lines = append(lines, r.String())
	}
	return strings.Join(lines, "\n")
}

// LoadConfig reads a configuration from a file and checks it. Faults of the
// content are an *Error.
func LoadConfig(file string) (*config.Config, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseConfig(file, data)
}

// ParseConfig is LoadConfig for data that was read from a file of this name.
func ParseConfig(file string, data []byte) (*config.Config, error) {
	cfg := &config.Config{}
	source, err := decode(file, data, cfg)
	if err != nil {
		return nil, err
	}
	if err := source.refuse(checker.Config(cfg)); err != nil {
		return nil, err
	}
	return cfg, nil
}

// LoadSettings reads the settings of a daemon from a file and checks them.
// Faults of the content are an *Error.
func LoadSettings(file string) (*settings.Entryd, error) {
	data, err := read(file)
	if err != nil {
		return nil, err
	}
	return ParseSettings(file, data)
}

// ParseSettings is LoadSettings for data that was read from a file of this
// name. The files named in the settings must exist.
func ParseSettings(file string, data []byte) (*settings.Entryd, error) {
	s := &settings.Entryd{}
	source, err := decode(file, data, s)
	if err != nil {
		return nil, err
	}
	if err := source.refuse(checker.Settings(s, readable)); err != nil {
		return nil, err
	}
	return s, nil
}

// read returns the content of a file up to the size limit.
func read(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, fileLimit+1))
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	if len(data) > fileLimit {
		return nil, newError(Refusal{
			File:   file,
			Reason: fmt.Sprintf("file is larger than %d bytes", fileLimit),
		})
	}
	return data, nil
}

// readable tells why a file can not be read.
func readable(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	return f.Close()
}

// decode fills m from data, strictly.
func decode(file string, data []byte, m proto.Message) (*source, error) {
	s, err := parse(file, data)
	if err != nil {
		return nil, err
	}
	v := validator{}
	v.message("", &s.root, m.ProtoReflect().Descriptor())
	if err := s.refuseAt(v.faults); err != nil {
		return nil, err
	}
	standard := s.root.Clone()
	standard.Standardize()
	if err := protojson.Unmarshal(standard.Pack(), m); err != nil {
		return nil, newError(Refusal{
			File:   file,
			Reason: "bad value: " + err.Error(),
		})
	}
	return s, nil
}

func newError(r Refusal) *Error {
	return &Error{Refusals: []Refusal{r}}
}
