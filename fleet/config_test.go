package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/config"
)

func configOf(text string) (*Config, error) {
	f, err := config.Parse("x", []byte(text))
	if err != nil {
		return nil, err
	}
	r := f.NewDecoder()
	c := ReadConfig(r.Forms(FormName)[FormName])
	return c, r.Err()
}

func TestFormIsReadAndFaultsNameTheirPlace(t *testing.T) {
	good := `(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1") (b "h:2") (c "h:3")) (span 2s) (duties none) (plain loopback) (reach (b "h:9")))`
	c, err := configOf(good)
	require.NoError(t, err)
	assert.Equal(t, 2*time.Second, c.LeaseDuration)
	assert.False(t, c.AcceptsLeases)
	assert.Equal(t, "127.0.0.1:1", c.Address, "where it listens")
	assert.Equal(t, map[string]string{"b": "h:9"}, c.AddressOverrides)
	assert.NoError(t, c.CheckName("d"))
	assert.ErrorContains(t, c.CheckName("a"), "has no file")
	c.VoterPath = "f"
	assert.NoError(t, c.CheckName("a"))
	assert.ErrorContains(t, c.CheckName("d"), "(joins)")
	for text, want := range map[string]string{
		`(fleet (listen "127.0.0.1:1") (keepers (a "h:1")) (plain loopback))`:                                `x:1:1: the fleet has no id`,
		`(fleet (id "x") (keepers (a "h:1")) (plain loopback))`:                                              `does not say where it listens`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1") (b "h:2")) (plain loopback))`:             `x:1:40: 2 keepers can't keep`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1") (a "h:2") (b "h:3")) (plain loopback))`:   `x:1:59: keeper a is named twice`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")))`:                                        `keys are not all named`,
		`(fleet (id "x") (listen "10.0.0.1:1") (keepers (a "h:1")) (plain loopback))`:                        `x:1:59: a mesh without keys is for loopback only`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (span 3) (plain loopback))`:              `3s was likely meant`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (span 10ms) (plain loopback))`:           `between 300ms and 5m`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (joins) (plain loopback))`:               `joins is for a keeper`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (dutys none) (plain loopback))`:          `duties was likely meant`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (duties some) (plain loopback))`:         `duties has no value some`,
		`(fleet (id "x") (listen "127.0.0.1:1") (keepers (a "h:1")) (plain loopback) (key "k") (trust "t"))`: `keys are not all named`,
	} {
		_, err := configOf(text)
		assert.ErrorContains(t, err, want, text)
	}
}
