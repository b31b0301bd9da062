package fleet

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/config"
)

// configOf parses the text of an operator's file and reads its fleet form.
func configOf(text string) (*Config, error) {
	f, err := config.Parse("x", []byte(text))
	if err != nil {
		return nil, err
	}
	r := f.NewDecoder()
	c := ReadConfig(r.Forms(FormName)[FormName])
	return c, r.Err()
}

func TestConfigErrorsNameTheirPosition(t *testing.T) {
	good := `(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1") (b "h:2") (c "h:3")) (lease-duration 2s) (leases none) (plain loopback) (reach (b "h:9")))`
	c, err := configOf(good)
	require.NoError(t, err)
	assert.Equal(t, 2*time.Second, c.LeaseDuration)
	assert.False(t, c.AcceptsLeases)
	assert.Equal(t, "127.0.0.1:1", c.Address, "the default is the listen address")
	assert.Equal(t, map[string]string{"b": "h:9"}, c.AddressOverrides)
	assert.NoError(t, c.CheckName("d"))
	assert.ErrorContains(t, c.CheckName("a"), "has no file")
	c.VoterPath = "f"
	assert.NoError(t, c.CheckName("a"))
	assert.ErrorContains(t, c.CheckName("d"), "(joins)")
	for text, want := range map[string]string{
		`(fleet (listen "127.0.0.1:1") (voters (a "h:1")) (plain loopback))`:                                `x:1:1: the fleet has no id`,
		`(fleet (id "x") (voters (a "h:1")) (plain loopback))`:                                              `does not say where it listens`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1") (b "h:2")) (plain loopback))`:             `x:1:40: the number of voters is 2; name three, or five: (voters `,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1") (a "h:2") (b "h:3")) (plain loopback))`:   `x:1:58: voter a is named twice`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")))`:                                        `keys are not all named`,
		`(fleet (id "x") (listen "10.0.0.1:1") (voters (a "h:1")) (plain loopback))`:                        `x:1:58: a mesh without keys is for loopback only`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (lease-duration 3) (plain loopback))`:    `3s was likely meant`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (lease-duration 10ms) (plain loopback))`: `between 300ms and 5m`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (joins) (plain loopback))`:               `joins is for a voter`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (leasse none) (plain loopback))`:         `leases was likely meant`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (leases some) (plain loopback))`:         `leases has no value some`,
		`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (plain loopback) (key "k") (trust "t"))`: `keys are not all named`,
	} {
		_, err := configOf(text)
		assert.ErrorContains(t, err, want, text)
	}
}

// captureLog returns a buffer that receives the log until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var out bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return &out
}

func TestDeprecatedFormsAreReadWithOneWarning(t *testing.T) {
	log := captureLog(t)
	current, err := configOf(`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (voter "f") (lease-duration 2s) (leases none) (plain loopback))`)
	require.NoError(t, err)
	assert.Empty(t, log.String())
	deprecated, err := configOf(`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (keeper "f") (span 2s) (duties none) (plain loopback))`)
	require.NoError(t, err)
	assert.Equal(t, current, deprecated)
	assert.Equal(t, 1, strings.Count(log.String(), "\n"), "one warning names all forms")
	assert.Contains(t, log.String(), `level=WARN msg="deprecated forms in the operator's file: the next version does not read them" file=x line=1 `+
		`forms="keepers keeper span duties" use="voters voter lease-duration leases"`)

	log.Reset()
	_, err = configOf(`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (span 2s) (plain loopback))`)
	require.NoError(t, err)
	assert.Contains(t, log.String(), `forms=span use=lease-duration`)
	_, err = configOf(`(fleet (id "x") (listen "127.0.0.1:1") (voters (a "h:1")) (keepers (a "h:1")) (plain loopback))`)
	assert.ErrorContains(t, err, `x:1:59: keepers is the deprecated name of voters, which is also present; keep (voters ...)`)
}
