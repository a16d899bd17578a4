// Package deployer runs the programs of the project as separate processes on
// loopback addresses, for tests that cause failures. It kills, freezes and
// restarts processes, partitions data centres, and sets the faults of the
// stand-ins.
package deployer

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	fileMode      = 0o644
	directoryMode = 0o755
)

// Mutant is a fault that is put into a source file, to show that a test detects
// it.
type Mutant struct {
	// File is the path of the file, relative to the root of the workspace.
	File string
	// Old is replaced by New. It must occur exactly once in the file.
	Old string
	New string
}

// Programs holds the paths of the built programs.
type Programs struct {
	Entryd      string
	Standin     string
	Plantainctl string
}

// Build builds the programs of the workspace into a directory. Entryd, standin
// and plantainctl are built; see BuildFrontd for the platform's daemon.
func Build(ctx context.Context, directory string) (Programs, error) {
	p := Programs{
		Entryd:      filepath.Join(directory, "entryd"),
		Standin:     filepath.Join(directory, "standin"),
		Plantainctl: filepath.Join(directory, "plantainctl"),
	}
	root, err := workspaceRoot(ctx)
	if err != nil {
		return Programs{}, err
	}
	return p, runCommand(ctx, root, "go", "build", "-o", directory+"/",
		"./entryd/cmd/entryd", "./standin/cmd/standin", "./plantainctl/cmd/plantainctl")
}

// BuildFrontd builds the platform's daemon into a directory and returns the
// path of the program.
func BuildFrontd(ctx context.Context, directory string) (string, error) {
	root, err := workspaceRoot(ctx)
	if err != nil {
		return "", err
	}
	program := filepath.Join(directory, "frontd")
	return program, runCommand(ctx, root, "go", "build", "-o", program, "./platform/cmd/frontd")
}

// BuildEarlierFrontd builds the platform's daemon of a commit of the repository's history into
// a directory and returns the path of the program.
func BuildEarlierFrontd(ctx context.Context, directory, commit string) (string, error) {
	root, err := workspaceRoot(ctx)
	if err != nil {
		return "", err
	}
	sources := filepath.Join(directory, "sources")
	if err := os.MkdirAll(sources, directoryMode); err != nil {
		return "", eris.Wrap(err, "create directory for the sources")
	}
	archive := filepath.Join(directory, "sources.tar")
	if err := runCommand(ctx, root, "git", "archive", "--output", archive, commit); err != nil {
		return "", err
	}
	if err := runCommand(ctx, sources, "tar", "xf", archive); err != nil {
		return "", err
	}
	program := filepath.Join(directory, "frontd")
	return program, runCommand(ctx, sources, "go", "build", "-o", program, "./platform/cmd/frontd")
}

// Mutate builds an entryd that contains the faults into a directory and returns
// the programs with its path. The source files are not changed: the build uses
// an overlay.
func (p Programs) Mutate(ctx context.Context, directory string, mutants ...Mutant) (Programs, error) {
	root, err := workspaceRoot(ctx)
	if err != nil {
		return Programs{}, err
	}
	replace, err := writeMutatedFiles(root, directory, mutants)
	if err != nil {
		return Programs{}, err
	}
	b, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return Programs{}, eris.Wrap(err, "encode overlay of mutants")
	}
	overlay := filepath.Join(directory, "overlay.json")
	if err := os.WriteFile(overlay, b, fileMode); err != nil {
		return Programs{}, eris.Wrap(err, "write overlay of mutants")
	}
	p.Entryd = filepath.Join(directory, "entryd")
	return p, runCommand(ctx, root, "go", "build", "-overlay", overlay, "-o", p.Entryd, "./entryd/cmd/entryd")
}

// writeMutatedFiles writes a changed copy of each mutated file to a directory
// and returns the path of the copy by the path of the original. Several mutants
// of one file are applied in order.
func writeMutatedFiles(root, directory string, mutants []Mutant) (map[string]string, error) {
	replace := make(map[string]string)
	for _, m := range mutants {
		name := filepath.Join(root, m.File)
		source := name
		if changed, ok := replace[name]; ok {
			source = changed
		}
		b, err := os.ReadFile(source)
		if err != nil {
			return nil, eris.Wrapf(err, "read source of mutant of %s", m.File)
		}
		if n := strings.Count(string(b), m.Old); n != 1 {
			return nil, eris.Errorf("mutant of %s: %q occurs %d times, want 1", m.File, m.Old, n)
		}
		out := filepath.Join(directory, strings.ReplaceAll(m.File, "/", "_"))
		if err := os.WriteFile(out, bytes.Replace(b, []byte(m.Old), []byte(m.New), 1), fileMode); err != nil {
			return nil, eris.Wrapf(err, "write mutant of %s", m.File)
		}
		replace[name] = out
	}
	return replace, nil
}

// workspaceRoot returns the directory of the go.work file.
func workspaceRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOWORK").Output()
	if err != nil {
		return "", eris.Wrap(err, "go env GOWORK")
	}
	file := strings.TrimSpace(string(out))
	if file == "" || file == "off" {
		return "", eris.New("go env GOWORK names no go.work file; the tests need the workspace")
	}
	return filepath.Dir(file), nil
}

func runCommand(ctx context.Context, directory, name string, args ...string) error {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = directory
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "%s %s: %s", name, strings.Join(args, " "), out)
}
