package crowder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"plantaincleat/loadgen/pkg/deploymentplanner"
	"plantaincleat/prover/pkg/deployer"
	"plantaincleat/tier/gen/settings"
)

// entrydBodyBytes is the greatest body that entryd takes.
const entrydBodyBytes = 64 << 10

// limitHost sets the host of a daemon to that of the tests.
func limitHost(s *settings.Entryd) {
	s.Host = &settings.Host{
		Memory:      float64(sizes().memory),
		Descriptors: uint32(sizes().descriptors),
	}
}

// startEntryd builds entryd and starts a small deployment with one daemon in each data centre.
func startEntryd(t *testing.T) *deployer.Deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	programs, err := deployer.Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	profile, err := deploymentplanner.FindProfile("kahikatea")
	if err != nil {
		t.Fatal(err)
	}
	if profile, err = profile.Scale(0.1); err != nil {
		t.Fatal(err)
	}
	return deployer.New(t, deployer.Options{
		Programs:     programs,
		Profile:      profile,
		Daemons:      3,
		EditSettings: limitHost,
	})
}

// searchHead returns the beginning of the head of a search, without the empty line at its end.
func searchHead(id string) string {
	return "POST /v1/search HTTP/1.1\r\nHost: h\r\nInstitution: kahikatea\r\nRequest-Id: " + id + "\r\n"
}

// TestCrowdAtEntryd guards against daemons that serve the product's own interface and run out of
// memory or descriptors, or answer nobody else, because of many callers that do not behave.
func TestCrowdAtEntryd(t *testing.T) {
	chunks := func(size, n int) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat(" ", size)), n)
	}
	tests := []struct {
		name  string
		admin bool
		text  func(id string) string
	}{
		{name: "bodies, one byte short", text: func(id string) string {
			return searchHead(id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", entrydBodyBytes, strings.Repeat(" ", entrydBodyBytes-1))
		}},
		{name: "bodies in large chunks, not ended", text: func(id string) string { return searchHead(id) + chunks(entrydBodyBytes/4, 4) }},
		{name: "bodies in chunks of a byte, not ended", text: func(id string) string { return searchHead(id) + chunks(1, entrydBodyBytes) }},
		{name: "heads, not ended", text: func(id string) string { return string(longHead("/v1/search", id, headBytes, 8)) }},
		{name: "silent", text: func(string) string { return "" }},
		{name: "operators, silent", admin: true, text: func(string) string { return "" }},
		{name: "operators, heads", admin: true, text: func(id string) string { return string(longHead("/status", id, 1000<<10, 1<<10)) }},
		{name: "operators, bodies", admin: true, text: func(string) string {
			return fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 4<<20, strings.Repeat(" ", 1<<20))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if playCrowd(func(id string) Client { return whole([]byte(test.text(id))) }) {
				return
			}
			d := startEntryd(t).Daemons()[0]
			watch := NewWatch(d.Process)
			defer watch.Close()
			address := d.Settings.GetListen().GetHttp()
			if test.admin {
				address = d.Settings.GetListen().GetAdmin()
			}
			crowd := gather(t, address, "crowd")
			checkAnswered(t, http.MethodPost, "http://"+d.Settings.GetListen().GetHttp()+"/v1/search", search)
			checkAnswered(t, http.MethodGet, "http://"+d.Settings.GetListen().GetAdmin()+"/livez", "")
			crowd.disperse(t)
			watch.check(t, "daemon")
		})
	}
}

// search is the body of an ordinary search.
const search = `{"collection":"entrants","version":"v1","class":"lookup","terms":["course"],"limit":5}`

// checkAnswered checks that a daemon answers a request with status 200.
func checkAnswered(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Institution", "kahikatea")
	client := &http.Client{
		Timeout:   callerPatience,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Errorf("ordinary request to %s: %v", url, err)
		return
	}
	answer, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("ordinary request to %s: status %d: %s", url, resp.StatusCode, answer)
	}
}
