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
	// maxDuration is the longest duration in whole seconds that a time.Duration
	// can represent.
	maxDuration = time.Duration(math.MaxInt64/int64(time.Second)) * time.Second
)

// validator compares a parsed file with the schema and collects all faults. It
// rewrites durations in the parsed file to the format that protojson expects.
type validator struct {
	faults []fault
}

func (v *validator) addFault(at *hujson.Value, field, format string, args ...any) {
	v.faults = append(v.faults, fault{
		offset: at.StartOffset,
		field:  field,
		reason: fmt.Sprintf(format, args...),
	})
}

// checkMessage checks that a value is an object with the fields of a message.
func (v *validator) checkMessage(path string, at *hujson.Value, d protoreflect.MessageDescriptor) {
	object, ok := at.Value.(*hujson.Object)
	if !ok {
		v.addFault(at, path, "wrong type: want an object, found %s", kindName(at))
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
			v.addFault(&member.Name, field, "unknown field; known are %s", fieldNames(d))
		case seen[name]:
			v.addFault(&member.Name, field, "the field occurs more than once")
		case fd.IsList():
			v.checkList(field, &member.Value, fd)
		default:
			v.checkValue(field, &member.Value, fd)
		}
		seen[name] = true
	}
}

func (v *validator) checkList(path string, at *hujson.Value, fd protoreflect.FieldDescriptor) {
	array, ok := at.Value.(*hujson.Array)
	if !ok {
		v.addFault(at, path, "wrong type: want a list, found %s", kindName(at))
		return
	}
	for i := range array.Elements {
		v.checkValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], fd)
	}
}

// checkValue checks one value that is not a list.
func (v *validator) checkValue(path string, at *hujson.Value, fd protoreflect.FieldDescriptor) {
	if m := fd.Message(); m != nil {
		if m.FullName() == durationName {
			v.rewriteDuration(path, at)
			return
		}
		v.checkMessage(path, at, m)
		return
	}
	switch fd.Kind() {
	case protoreflect.StringKind:
		v.checkKind(path, at, '"', "a string")
	case protoreflect.BoolKind:
		if k := at.Value.Kind(); k != 't' && k != 'f' {
			v.addFault(at, path, "wrong type: want a boolean, found %s", kindName(at))
		}
	case protoreflect.DoubleKind:
		if !v.checkKind(path, at, '0', "a number") {
			return
		}
		if _, err := strconv.ParseFloat(text(at), 64); err != nil {
			v.addFault(at, path, "bad value: %s is out of range", text(at))
		}
	case protoreflect.Uint32Kind:
		if !v.checkKind(path, at, '0', "a number") {
			return
		}
		if _, err := strconv.ParseUint(text(at), 10, 32); err != nil {
			v.addFault(at, path, "bad value: %s is not a whole number from 0 to %d", text(at), uint32(math.MaxUint32))
		}
	}
}

// checkKind checks that a value is of a kind, which name describes in the fault.
func (v *validator) checkKind(path string, at *hujson.Value, kind hujson.Kind, name string) bool {
	if at.Value.Kind() == kind {
		return true
	}
	v.addFault(at, path, "wrong type: want %s, found %s", name, kindName(at))
	return false
}

// rewriteDuration checks a string such as "250ms" or "1m30s" and rewrites it to
// seconds with nine decimals, the format of protojson.
func (v *validator) rewriteDuration(path string, at *hujson.Value) {
	if !v.checkKind(path, at, '"', `a duration in a string such as "250ms"`) {
		return
	}
	literal, _ := at.Value.(hujson.Literal)
	d, err := time.ParseDuration(literal.String())
	if err != nil || d.Abs() > maxDuration {
		v.addFault(at, path, `bad value: %s is not a duration such as "250ms" or "1m30s"`, text(at))
		return
	}
	sign := ""
	if d < 0 {
		sign, d = "-", -d
	}
	at.Value = hujson.String(fmt.Sprintf("%s%d.%09ds", sign, d/time.Second, d%time.Second))
}

// fieldNames returns the JSON names of the fields of a message, separated by commas.
func fieldNames(d protoreflect.MessageDescriptor) string {
	names := make([]string, 0, d.Fields().Len())
	for i := range d.Fields().Len() {
		names = append(names, d.Fields().Get(i).JSONName())
	}
	return strings.Join(names, ", ")
}
