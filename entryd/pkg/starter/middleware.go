package starter

import "net/http"

// publicPaths are the paths of the admin listener that need no client certificate, so
// that balancers can ask for them.
var publicPaths = map[string]bool{
	"/livez":  true,
	"/readyz": true,
}

// closeWhileStopping closes the connections of callers with their next answers once the
// daemon stops, so that none is closed while a request is on its way.
func (d *Daemon) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.adminHandler.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// requireClientCertificate refuses requests to the admin listener without a client certificate,
// but for the open paths. Plain text is served as it is: the settings allow it
// only on loopback addresses or where security.insecure is set.
func (d *Daemon) requireClientCertificate(next http.Handler) http.Handler {
	if d.tls == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verified := r.TLS != nil && len(r.TLS.VerifiedChains) > 0
		if !verified && !publicPaths[r.URL.Path] {
			http.Error(w, "a client certificate is needed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
