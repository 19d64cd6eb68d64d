package tlsfiles

import (
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"
	"time"

	"sumachead/internal/config"
)

func issue(t *testing.T, dir, name string) *Files {
	t.Helper()
	a, err := OpenAuthority(dir)
	if err == nil {
		err = a.Issue(name, []string{"127.0.0.1"})
	}
	if err != nil {
		t.Fatal(err)
	}
	f, err := Load(config.TLS{
		CA: filepath.Join(dir, "ca.pem"), Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+"-key.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// handshake returns the serial number of the server certificate that a client
// receives.
func handshake(server, client *tls.Config) (string, error) {
	lis, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return "", err
	}
	defer func() { _ = lis.Close() }()
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		_, _ = c.Write([]byte("x")) // completes the handshake
		_ = c.Close()
	}()
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", lis.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func TestPeerMustBeSignedByAuthority(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	server, client, stranger := issue(t, dir, "server"), issue(t, dir, "client"), issue(t, other, "stranger")
	tests := []struct {
		name string
		cfg  *tls.Config
		ok   bool
	}{
		{"a process of the system", client.Client(), true},
		{"another authority's process", stranger.Client(), false},
		{"no certificate", &tls.Config{RootCAs: client.roots}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := handshake(server.Server(), tt.cfg); (err == nil) != tt.ok {
				t.Errorf("handshake: %v", err)
			}
		})
	}
}

func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	server, client := issue(t, dir, "server"), issue(t, dir, "client")
	before, err := handshake(server.Server(), client.Client())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(checkInterval + 100*time.Millisecond)
	issue(t, dir, "server")
	after, err := handshake(server.Server(), client.Client())
	if err != nil || after == before {
		t.Errorf("the old certificate is still presented: %v", err)
	}
}
