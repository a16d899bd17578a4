package loadreader

import (
	"strings"
	"testing"

	"plantaincleat/entryd/pkg/estimator"
)

// TestRead guards against a bad header that ends the daemon, or that keeps requests from a
// target or draws them to it.
func TestRead(t *testing.T) {
	tests := []struct {
		name    string
		values  []string
		want    estimator.Report
		told    bool
		invalid bool
	}{
		{name: "absent"},
		{name: "three figures", values: []string{"3,1,8"}, want: estimator.Report{Running: 3, Queue: 1}, told: true},
		{name: "four figures", values: []string{"2, 0, 2, 150"}, want: estimator.Report{Running: 2, Pace: 1.5}, told: true},
		{name: "fraction of the pace", values: []string{"0,0,2,87.5"}, want: estimator.Report{Pace: 0.875}, told: true},
		{name: "idle", values: []string{"0,0,2"}, told: true},
		{name: "empty", values: []string{""}, invalid: true},
		{name: "two figures", values: []string{"1,2"}, invalid: true},
		{name: "five figures", values: []string{"1,2,3,100,5"}, invalid: true},
		{name: "thousands of figures", values: []string{strings.Repeat("1,", 5000)}, invalid: true},
		{name: "negative", values: []string{"-1,0,2"}, invalid: true},
		{name: "negative pace", values: []string{"1,0,2,-100"}, invalid: true},
		{name: "pace of zero", values: []string{"1,0,2,0"}, invalid: true},
		{name: "no number", values: []string{"a,b,c"}, invalid: true},
		{name: "pace is no number", values: []string{"1,0,2,NaN"}, invalid: true},
		{name: "pace is infinite", values: []string{"1,0,2,Inf"}, invalid: true},
		{name: "fraction of a request", values: []string{"1.5,0,2"}, invalid: true},
		{name: "no slots", values: []string{"1,0,0"}, invalid: true},
		{name: "huge", values: []string{"99999999999999999999,0,2"}, invalid: true},
		{name: "many waiting", values: []string{"1,4000000000,2"}, invalid: true},
		{name: "huge pace", values: []string{"1,0,2,1e300"}, invalid: true},
		{name: "missing figure", values: []string{"1,,2"}, invalid: true},
		{name: "two headers", values: []string{"1,0,2", "0,0,2"}, invalid: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, told, err := Read(test.values)
			if got != test.want || told != test.told || (err != nil) != test.invalid {
				t.Errorf("load %+v, told %v, error %v; want %+v, %v and an error: %v", got, told, err, test.want, test.told, test.invalid)
			}
			if err != nil && len(err.Error()) > 200 {
				t.Errorf("error of %d bytes for the log", len(err.Error()))
			}
		})
	}
}

// BenchmarkRead measures what the header of an answer costs.
func BenchmarkRead(b *testing.B) {
	values := []string{"2,1,2,150"}
	for b.Loop() {
		if _, told, _ := Read(values); !told {
			b.Fatal("the load was not read")
		}
	}
}
