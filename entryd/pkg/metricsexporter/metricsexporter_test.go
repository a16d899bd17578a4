package metricsexporter

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"
)

func TestPage(t *testing.T) {
	var m Exporter
	m.Count("b", "merged", 30*time.Millisecond)
	m.Count("a", "merged", time.Millisecond)
	m.Count("b", "merged", time.Hour)
	m.AddGauge("revision", func() any { return 7 })
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var p page
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatal(err)
	}
	if len(p.Requests) != 2 || p.Requests[0].Route != "a" || p.Requests[1].Count != 2 {
		t.Fatalf("requests %+v, want one of route a, then two of route b", p.Requests)
	}
	buckets := p.Requests[1].Buckets
	if len(buckets) != len(p.Bounds)+1 || buckets[3] != 1 || buckets[len(buckets)-1] != 1 {
		t.Errorf("buckets %v for bounds %v", buckets, p.Bounds)
	}
	if p.Values["revision"] != 7.0 {
		t.Errorf("values %v, want revision 7", p.Values)
	}
}
