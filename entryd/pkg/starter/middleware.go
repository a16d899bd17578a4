package starter

import "net/http"

// publicPaths are the paths of the admin listener that need no client certificate, so
// that load balancers can request them.
var publicPaths = map[string]bool{
	"/livez":  true,
	"/readyz": true,
}

// closeWhileStopping makes each answer close its connection once the daemon is stopping.
// Callers then send no request on a connection that the shutdown closes.
func (d *Daemon) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.adminHandler.Stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// requireClientCertificate refuses requests to the admin listener that have no verified
// client certificate, except for publicPaths. Without TLS all requests are served: the
// settings allow that only on loopback addresses or with security.insecure set.
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
