// Package tlsfiles builds TLS configurations from the certificate files named
// in a settings file. Files are reloaded when they change, so that certificates
// can be rotated without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"sumachead/internal/config"
)

// checkInterval is how often the modification time of a certificate file is
// checked.
const checkInterval = time.Second

// Files holds the certificates of one process; it is nil if TLS is off.
type Files struct {
	roots   *x509.CertPool
	process *pair
	caller  *pair
}

// pair is a certificate and key that are reloaded when their files change.
type pair struct {
	cert, key string

	mu       sync.Mutex // guards the fields below
	loaded   *tls.Certificate
	modified time.Time
	checked  time.Time
}

// Load reads the certificate files; it returns nil if TLS is off.
func Load(c config.TLS) (*Files, error) {
	if c.Off {
		return nil, nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f := &Files{roots: x509.NewCertPool(), process: &pair{cert: c.Cert, key: c.Key}}
	if !f.roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("tls.ca: no certificate found in %s", c.CA)
	}
	f.caller = f.process
	if c.CallerCert != "" {
		f.caller = &pair{cert: c.CallerCert, key: c.CallerKey}
	}
	for _, p := range []*pair{f.process, f.caller} {
		if _, err := p.get(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// get returns the certificate, and reloads it if its file has changed. If the
// reload fails, the old certificate stays in use.
func (p *pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.loaded != nil && now.Sub(p.checked) < checkInterval {
		return p.loaded, nil
	}
	p.checked = now
	info, err := os.Stat(p.cert)
	if err == nil && p.loaded != nil && info.ModTime().Equal(p.modified) {
		return p.loaded, nil
	}
	c, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		if p.loaded != nil {
			return p.loaded, nil
		}
		return nil, trace.Wrap(err, "loading certificate %s and key %s", p.cert, p.key)
	}
	p.loaded = &c
	if info != nil {
		p.modified = info.ModTime()
	}
	return p.loaded, nil
}

// Server returns the configuration for calls from other processes, which must
// present a certificate signed by the authority.
func (f *Files) Server() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: f.roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.process.get() },
	}
}

// Client returns the configuration for calls to other processes.
func (f *Files) Client() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: f.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.process.get() },
	}
}

// Caller returns the configuration for connections from callers.
func (f *Files) Caller() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.caller.get() },
	}
}
