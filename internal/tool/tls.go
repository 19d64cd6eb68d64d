package tool

import "sumachead/internal/tlsfiles"

type tlsInit struct {
	app       *app
	Dir       string   `long:"dir" required:"true" description:"directory of the certificate authority; created if missing"`
	Addresses []string `long:"address" description:"IP address or DNS name that the certificates are valid for; may be repeated"`
	Args      struct {
		Names []string `positional-arg-name:"NAME" required:"1"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (t *tlsInit) Execute([]string) error {
	a, err := tlsfiles.OpenAuthority(t.Dir)
	if err != nil {
		return err
	}
	for _, name := range t.Args.Names {
		if err := a.Issue(name, append([]string{name}, t.Addresses...)); err != nil {
			return err
		}
	}
	return nil
}
