package main

import (
	"crypto/sha256"
	"crypto/x509"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"dapplerouter/framing"
)

// keysCommands create, sign, show and check the keys and certificates of a gateway's link.
type keysCommands struct {
	New   keysNewCommand   `cmd:"" help:"Make a site's key and certificate, or with --root the operator's own root."`
	Sign  keysSignCommand  `cmd:"" help:"Sign a site's certificate with the root."`
	Show  keysShowCommand  `cmd:"" help:"Show what a certificate is for, whose it is and when it expires."`
	Check keysCheckCommand `cmd:"" help:"Check the keys that an operator's file names."`
}

// keysNewCommand creates the key and certificate of a site or of a root.
type keysNewCommand struct {
	Site string `arg:"" help:"The site's name, as the gateway form has it; the root's own name with --root."`
	Root bool   `help:"Make a root that signs certificates."`
	Days int    `default:"365" help:"Until it ends."`
	Dir  string `default:"." type:"path" help:"Where SITE.key and SITE.crt are written."`
}

// run writes SITE.key and SITE.crt. It overwrites neither.
func (k *keysNewCommand) run() int {
	key, cert, err := framing.NewKeyPair(k.Site, k.Root, k.Days)
	if err == nil {
		err = createFile(filepath.Join(k.Dir, k.Site+".key"), key, 0o600)
	}
	if err == nil {
		err = createFile(filepath.Join(k.Dir, k.Site+".crt"), cert, 0o644)
	}
	return printKeysResult(err, fmt.Sprintf("%s.key (keep it here) and %s.crt (give it to the peer, or have the root sign it)", k.Site, k.Site))
}

// createFile writes a file that must not exist yet, since overwriting would destroy a key. If the file exists, the error wraps
// fs.ErrExist.
func createFile(path string, data []byte, mode fs.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%w; pass another folder with --dir, or move the file away", err)
	}
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

// printKeysResult prints the error, or success if there is none, and returns the exit code.
func printKeysResult(err error, success string) int {
	if err != nil {
		printError(err)
		return exitUnusable
	}
	fmt.Println(success)
	return exitOK
}

// keysSignCommand signs a site's certificate with the key of a root.
type keysSignCommand struct {
	Certificate string `arg:"" type:"existingfile" help:"The site's certificate, as keys new made it."`
	Root        string `required:"" type:"existingfile" help:"The root's certificate; its key stands beside it as .key unless --root-key names it."`
	RootKey     string `type:"existingfile" help:"The root's key."`
	Days        int    `default:"365" help:"Until it ends."`
	Out         string `required:"" type:"path" help:"Where the signed certificate is written."`
}

// run writes the signed certificate. It does not overwrite a file.
func (k *keysSignCommand) run() int {
	rootKey := k.RootKey
	if rootKey == "" {
		rootKey = k.Root[:len(k.Root)-len(filepath.Ext(k.Root))] + ".key"
	}
	var parts [3][]byte
	for i, path := range []string{k.Certificate, k.Root, rootKey} {
		data, err := os.ReadFile(path)
		if err != nil {
			return printKeysResult(err, "")
		}
		parts[i] = data
	}
	signed, err := framing.SignCertificate(parts[0], parts[1], parts[2], k.Days)
	if err == nil {
		err = createFile(k.Out, signed, 0o644)
	}
	return printKeysResult(err, k.Out)
}

// keysShowCommand shows certificates: site or root, name, signer, expiry and fingerprint.
type keysShowCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Certificates."`
	JSON  bool     `help:"A line of JSON a certificate instead."`
}

// run exits with exitNegative if a certificate has expired.
func (k *keysShowCommand) run() int {
	exit := exitOK
	for _, path := range k.Files {
		data, err := os.ReadFile(path)
		if err != nil {
			return printKeysResult(err, "")
		}
		all, err := framing.ParseCertificates(data)
		if err != nil {
			return printKeysResult(fmt.Errorf("%s: %w", path, err), "")
		}
		for _, c := range all {
			k.print(path, c)
			if time.Now().After(c.NotAfter) {
				exit = exitNegative
			}
		}
	}
	return exit
}

// print prints one certificate of the file path, as a line of JSON or of text.
func (k *keysShowCommand) print(path string, c *x509.Certificate) {
	fingerprint := fmt.Sprintf("%x", sha256.Sum256(c.Raw))
	if k.JSON {
		printJSON(map[string]any{"file": path, "site": c.Subject.CommonName, "root": c.IsCA,
			"signed_by": c.Issuer.CommonName, "from": c.NotBefore, "until": c.NotAfter, "sha256": fingerprint})
		return
	}
	kind := "site"
	if c.IsCA {
		kind = "root"
	}
	fmt.Printf("%s: %s %s, signed by %s, until %s, sha256 %s\n", path, kind, c.Subject.CommonName, c.Issuer.CommonName,
		c.NotAfter.Format(time.DateOnly), fingerprint)
}

// keysCheckCommand checks the keys that the gateway form of an operator's file names.
type keysCheckCommand struct {
	File string `required:"" env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's file, with its gateway form."`
}

// run exits with exitNegative if the keys fail the check, and with exitUnusable if the file can't be read or names no keys.
func (k *keysCheckCommand) run() int {
	o, err := readOperatorFile(k.File)
	if err != nil {
		return printErrors(os.Stderr, err)
	}
	g := o.gateway
	if g == nil || g.KeyFile == "" {
		fmt.Fprintf(os.Stderr, "%s: no keys configured; see (gateway (peer ... (key ...)))\n", k.File)
		return exitUnusable
	}
	expiry, err := framing.KeyFiles{Key: g.KeyFile, Certificate: g.CertificateFile, Trust: g.TrustFile}.Check(time.Now())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNegative
	}
	fmt.Printf("good until %s\n", expiry.Format(time.DateOnly))
	return exitOK
}
