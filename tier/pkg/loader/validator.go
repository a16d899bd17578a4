package loader

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const (
	durationName = "google.protobuf.Duration"
	// maxDuration is the largest duration that Go can hold, in whole seconds.
	maxDuration = time.Duration(math.MaxInt64/int64(time.Second)) * time.Second
)

// validator walks a parsed file along the schema and collects all faults.
// Durations are rewritten to the form that the decoder expects.
type validator struct {
	faults []fault
}

func (v *validator) refuse(at *hujson.Value, field, format string, args ...any) {
	v.faults = append(v.faults, fault{
		offset: at.StartOffset,
		field:  field,
		reason: fmt.Sprintf(format, args...),
	})
}

// message checks an object against a message.
func (v *validator) message(path string, at *hujson.Value, d protoreflect.MessageDescriptor) {
	object, ok := at.Value.(*hujson.Object)
	if !ok {
		v.refuse(at, path, "wrong type: want an object, found %s", kindName(at))
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		name := literal.String()
		field := name
		if path != "" {
			field = path + "." + name
		}
		fd := d.Fields().ByJSONName(name)
		switch {
		case fd == nil:
			v.refuse(&member.Name, field, "unknown field; known are %s", known(d))
		case seen[name]:
			v.refuse(&member.Name, field, "the field stands twice")
		case fd.IsList():
			v.list(field, &member.Value, fd)
		default:
			v.single(field, &member.Value, fd)
		}
		seen[name] = true
	}
}

func (v *validator) list(path string, at *hujson.Value, fd protoreflect.FieldDescriptor) {
	array, ok := at.Value.(*hujson.Array)
	if !ok {
		v.refuse(at, path, "wrong type: want a list, found %s", kindName(at))
		return
	}
	for i := range array.Elements {
		v.single(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], fd)
	}
}

// single checks one value that is not a list.
func (v *validator) single(path string, at *hujson.Value, fd protoreflect.FieldDescriptor) {
	if m := fd.Message(); m != nil {
		if m.FullName() == durationName {
			v.duration(path, at)
			return
		}
		v.message(path, at, m)
		return
	}
	switch fd.Kind() {
	case protoreflect.StringKind:
		v.want(path, at, '"', "a string")
	case protoreflect.BoolKind:
		if k := at.Value.Kind(); k != 't' && k != 'f' {
			v.refuse(at, path, "wrong type: want a boolean, found %s", kindName(at))
		}
	case protoreflect.DoubleKind:
		if !v.want(path, at, '0', "a number") {
			return
		}
		if _, err := strconv.ParseFloat(text(at), 64); err != nil {
			v.refuse(at, path, "bad value: %s is out of range", text(at))
		}
	case protoreflect.Uint32Kind:
		if !v.want(path, at, '0', "a number") {
			return
		}
		if _, err := strconv.ParseUint(text(at), 10, 32); err != nil {
			v.refuse(at, path, "bad value: %s is not a whole number from 0 to %d", text(at), uint32(math.MaxUint32))
		}
	}
}

// want refuses a value of another kind.
func (v *validator) want(path string, at *hujson.Value, kind hujson.Kind, name string) bool {
	if at.Value.Kind() == kind {
		return true
	}
	v.refuse(at, path, "wrong type: want %s, found %s", name, kindName(at))
	return false
}

// duration accepts a string such as "250ms" or "1m30s".
func (v *validator) duration(path string, at *hujson.Value) {
	if !v.want(path, at, '"', `a duration in a string such as "250ms"`) {
		return
	}
	literal, _ := at.Value.(hujson.Literal)
	d, err := time.ParseDuration(literal.String())
	if err != nil || d.Abs() > maxDuration {
		v.refuse(at, path, `bad value: %s is not a duration such as "250ms" or "1m30s"`, text(at))
		return
	}
	sign := ""
	if d < 0 {
		sign, d = "-", -d
	}
	at.Value = hujson.String(fmt.Sprintf("%s%d.%09ds", sign, d/time.Second, d%time.Second))
}

// known lists the field names of a message.
func known(d protoreflect.MessageDescriptor) string {
	names := make([]string, 0, d.Fields().Len())
	for i := range d.Fields().Len() {
		names = append(names, d.Fields().Get(i).JSONName())
	}
	return strings.Join(names, ", ")
}
