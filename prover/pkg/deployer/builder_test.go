package deployer

import (
	"os"
	"path/filepath"
	"testing"
)

func TestWriteMutants(t *testing.T) {
	tests := []struct {
		name    string
		mutants []Mutant
		want    string
	}{
		{
			name: "one mutant",
			mutants: []Mutant{{
				File: "a/b.go",
				Old:  "x := 1",
				New:  "x := 2",
			}},
			want: "x := 2\ny := 1\ny := 1\n",
		},
		{
			name: "two mutants of one file",
			mutants: []Mutant{{
				File: "a/b.go",
				Old:  "x := 1",
				New:  "x := 2",
			}, {
				File: "a/b.go",
				Old:  "x := 2",
				New:  "x := 3",
			}},
			want: "x := 3\ny := 1\ny := 1\n",
		},
		{
			name: "text not found",
			mutants: []Mutant{{
				File: "a/b.go",
				Old:  "z := 1",
			}},
		},
		{
			name: "text found twice",
			mutants: []Mutant{{
				File: "a/b.go",
				Old:  "y := 1",
			}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			root := t.TempDir()
			file := filepath.Join(root, "a", "b.go")
			if err := os.MkdirAll(filepath.Dir(file), directoryMode); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(file, []byte("x := 1\ny := 1\ny := 1\n"), fileMode); err != nil {
				t.Fatal(err)
			}
			replace, err := writeMutatedFiles(root, t.TempDir(), test.mutants)
			if (err == nil) != (test.want != "") {
				t.Fatalf("writeMutants: error %v", err)
			}
			if err != nil {
				return
			}
			if b, err := os.ReadFile(replace[file]); err != nil || string(b) != test.want {
				t.Errorf("changed file %q, error %v, want %q", b, err, test.want)
			}
		})
	}
}
