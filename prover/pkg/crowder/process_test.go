package crowder

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// Environment variables of a process that plays the crowd of a test.
const (
	addressVariable = "CROWDER_ADDRESS"
	prefixVariable  = "CROWDER_PREFIX"
)

// What such a process writes: a line when its crowd has sent what it sends, and one for each request
// that was refused with a promise, with its id, when the crowd has dispersed.
const (
	gatheredLine  = "crowd: gathered"
	refusedPrefix = "crowd: refused "
)

// crowdProcess is a crowd that has a process of its own. Clients in the process of the test would keep
// ordinary callers, and the targets, from being scheduled for seconds.
type crowdProcess struct {
	command *exec.Cmd
	input   io.Closer
	output  *bufio.Scanner
}

// gather starts the crowd of a test in a process of its own, and waits until it has sent what it sends.
// The process runs the same test, which has to begin with playCrowd.
func gather(t *testing.T, address, prefix string) *crowdProcess {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run", exactly(t.Name()), fmt.Sprintf("-large=%t", *large))
	command.Env = append(os.Environ(), addressVariable+"="+address, prefixVariable+"="+prefix)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	// A process that has ended already is not killed.
	t.Cleanup(func() { _ = command.Process.Kill() })
	p := &crowdProcess{
		command: command,
		input:   input,
		output:  bufio.NewScanner(output),
	}
	for p.output.Scan() {
		if p.output.Text() == gatheredLine {
			return p
		}
	}
	t.Fatalf("crowd has ended early: %v", command.Wait())
	return nil
}

// exactly returns the pattern that selects the test of a name alone.
func exactly(name string) string {
	var parts []string
	for part := range strings.SplitSeq(name, "/") {
		parts = append(parts, "^"+regexp.QuoteMeta(part)+"$")
	}
	return strings.Join(parts, "/")
}

// disperse closes the connections of the crowd and returns the ids of the requests that were refused
// with a promise.
func (p *crowdProcess) disperse(t *testing.T) []string {
	t.Helper()
	if err := p.input.Close(); err != nil {
		t.Fatal(err)
	}
	var refused []string
	for p.output.Scan() {
		if id, ok := strings.CutPrefix(p.output.Text(), refusedPrefix); ok {
			refused = append(refused, id)
		}
	}
	if err := p.command.Wait(); err != nil {
		t.Fatalf("crowd: %v", err)
	}
	return refused
}

// playCrowd plays the crowd of a test if the process was started for that, and reports whether it was.
func playCrowd(client func(id string) Client) bool {
	address := os.Getenv(addressVariable)
	if address == "" {
		return false
	}
	crowd := Gather(address, sizes().clients, os.Getenv(prefixVariable), client)
	fmt.Println(gatheredLine)
	// The test closes the input, or ends.
	_, _ = io.Copy(io.Discard, os.Stdin)
	crowd.Disperse()
	for _, id := range crowd.Refused() {
		fmt.Println(refusedPrefix + id)
	}
	return true
}
