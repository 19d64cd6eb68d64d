// Package tlsfiles makes TLS settings from the files that a settings file
// names. The files are read again when they change, so that a certificate is
// replaced without a restart.
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

// checkEvery is how often a file's time is looked at.
const checkEvery = time.Second

// Files are the TLS settings of one process; nil when TLS is off.
type Files struct {
	roots  *x509.CertPool
	own    *pair
	caller *pair
}

// pair is a certificate that follows its files.
type pair struct {
	cert, key string

	mu       sync.Mutex // guards the fields below
	loaded   *tls.Certificate
	modified time.Time
	checked  time.Time
}

// Load reads the files; it returns nil when TLS is off.
func Load(c config.TLS) (*Files, error) {
	if c.Off {
		return nil, nil
	}
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f := &Files{roots: x509.NewCertPool(), own: &pair{cert: c.Cert, key: c.Key}}
	if !f.roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("tls.ca: %s holds no certificate", c.CA)
	}
	f.caller = f.own
	if c.CallerCert != "" {
		f.caller = &pair{cert: c.CallerCert, key: c.CallerKey}
	}
	for _, p := range []*pair{f.own, f.caller} {
		if _, err := p.get(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// get returns the certificate, reading it again after a change. A change that
// can't be read leaves the old one in use.
func (p *pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.loaded != nil && now.Sub(p.checked) < checkEvery {
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
		return nil, trace.Wrap(err, "reading %s and %s", p.cert, p.key)
	}
	p.loaded = &c
	if info != nil {
		p.modified = info.ModTime()
	}
	return p.loaded, nil
}

// Server returns the settings for calls from other processes, which must show
// a certificate of the authority.
func (f *Files) Server() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: f.roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.own.get() },
	}
}

// Client returns the settings for calls to other processes.
func (f *Files) Client() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: f.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.own.get() },
	}
}

// Caller returns the settings towards callers.
func (f *Files) Caller() *tls.Config {
	if f == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.caller.get() },
	}
}
