package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"sumachead/internal/wal"
)

const (
	authorityFile    = "ca.pem"
	authorityKeyFile = "ca-key.pem"
	authorityYears   = 10
	nodeYears        = 1
	directoryMode    = 0o700
	privateKeyMode   = 0o600
	certificateMode  = 0o644
)

// Authority is the certificate authority of a system's processes.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// OpenAuthority loads the authority in a directory, or creates one.
func OpenAuthority(dir string) (*Authority, error) {
	a := &Authority{dir: dir}
	certPEM, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if os.IsNotExist(err) {
		return a, a.create()
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, trace.BadParameter("%s: the certificate or key of the authority is not valid PEM", dir)
	}
	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return nil, trace.Wrap(err)
	}
	a.key, err = x509.ParseECPrivateKey(keyBlock.Bytes)
	return a, trace.Wrap(err)
}

func template(name string, years int) (*x509.Certificate, error) {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.AddDate(years, 0, 0),
	}, nil
}

func (a *Authority) create() error {
	if err := os.MkdirAll(a.dir, directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	t, err := template("sumachead", authorityYears)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return trace.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &a.key.PublicKey, a.key)
	if err != nil {
		return trace.Wrap(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return trace.Wrap(err)
	}
	return a.write(authorityFile, authorityKeyFile, der, a.key)
}

// Issue writes NAME.pem and NAME-key.pem for a process. The certificate is
// valid for the given IP addresses and DNS names.
func (a *Authority) Issue(name string, addresses []string) error {
	t, err := template(name, nodeYears)
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, addr := range addresses {
		if ip := net.ParseIP(addr); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
			continue
		}
		t.DNSNames = append(t.DNSNames, addr)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return trace.Wrap(err)
	}
	return a.write(name+".pem", name+"-key.pem", der, key)
}

func (a *Authority) write(certName, keyName string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	// A crash in between leaves a key without its certificate, or with the earlier one: the next run writes both.
	if err := wal.ReplaceFile(filepath.Join(a.dir, keyName), keyPEM, privateKeyMode); err != nil {
		return err
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return wal.ReplaceFile(filepath.Join(a.dir, certName), certPEM, certificateMode)
}
