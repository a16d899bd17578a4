package starter

import "net/http"

// open are the paths of the admin listener that need no client certificate, so
// that balancers can ask for them.
var open = map[string]bool{
	"/livez":  true,
	"/readyz": true,
}

// closing closes the connections of callers with their next answers once the
// daemon stops, so that none is closed while a request is on its way.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.admin.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// guard refuses requests to the admin listener without a client certificate,
// but for the open paths. Plain text is served as it is: the settings allow it
// only on loopback addresses or where security.insecure is set.
func (d *Daemon) guard(next http.Handler) http.Handler {
	if d.tls == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !verified && !open[r.URL.Path] {
			http.Error(w, "a client certificate is needed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
