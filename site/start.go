package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"dapplerouter/discovery"
)

// Names of the variables that a front is started with.
const (
	NameVariable      = "EDGE_NAME"
	ListenVariable    = "EDGE_LISTEN"
	DiscoveryVariable = "EDGE_DISCOVERY"
	FileVariable      = "EDGE_CONFIG"
)

// Aside is how many descriptors are needed beside those of clients and members: the standard ones, the
// listener, discovery, the runtime's own, and a few that are about to close.
const Aside = 32

const (
	leastSockets = Aside + 32
	leastMemory  = 24 // MB
)

// Start is what a front is told when it starts.
type Start struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	Memory                  int64 // bytes
	Sockets                 int
	Known                   discovery.List // may be old
	Passed                  []error        // entries of it that say nothing usable
	Site                    *Site
}

// Load reads the variables and the file that they name. The fault names the variable, or the file's key.
func Load(variable func(string) string, read func(string) ([]byte, error)) (*Start, error) {
	path := variable(FileVariable)
	if path == "" {
		return nil, &Fault{Key: FileVariable, What: "is missing"}
	}
	data, err := read(path)
	if err != nil {
		return nil, &Fault{FileVariable, fmt.Sprintf("cannot be read: %v", err), true}
	}
	keys, raw, err := flatten(data)
	if err != nil {
		return nil, &Fault{FileVariable, fmt.Sprintf("is no JSON object: %v", err), true}
	}
	r := &reading{get: func(k string) string { return keys[k] }}
	told := func(name, key string) string { // the variable stands above the file
		if v := variable(name); v != "" {
			return v
		}
		return r.need(key)
	}
	s := &Start{
		Name: told(NameVariable, "name"), Listen: told(ListenVariable, "listen"),
		Discovery: told(DiscoveryVariable, "discovery"),
		Cores:     r.decimal("limits.cores", 1), Sockets: int(r.integer("limits.sockets")),
		Memory: int64(r.decimal("limits.memory_mb", 0) * (1 << 20)),
	}
	r.need("limits.memory_mb")
	seed, err := strconv.ParseUint(r.need("seed"), 16, 64)
	if err != nil {
		r.fail("seed", fmt.Sprintf("is no hexadecimal number of 64 bits: %q", keys["seed"]))
	}
	s.Seed = seed
	r.address("listen", s.Listen)
	r.address("discovery", s.Discovery)
	if s.Cores <= 0 {
		r.fail("limits.cores", "is not above 0")
	}
	if s.Sockets < leastSockets {
		r.fail("limits.sockets", fmt.Sprintf("is too small to work in: below %d", leastSockets))
	}
	if s.Memory < leastMemory<<20 {
		r.fail("limits.memory_mb", fmt.Sprintf("is too small to work in: below %d", leastMemory))
	}
	if known := raw[knownKey]; known == nil {
		r.fail(knownKey, "is missing")
	} else if s.Known, s.Passed, err = discovery.Decode(known); err != nil {
		r.fail(knownKey, "is "+err.Error())
	}
	if raw["settings"] == nil {
		r.fail("settings", "is missing")
	}
	if r.err != nil {
		return nil, r.err
	}
	s.Site, err = Read(func(k string) string { return keys["settings."+k] })
	var f *Fault
	if errors.As(err, &f) {
		return nil, &Fault{Key: "settings." + f.Key, What: f.What}
	}
	if err == nil && s.Site.Allowance.DialTimeout <= 0 {
		return nil, &Fault{Key: "settings.Limits.DialTimeout", What: "is missing"}
	}
	if err == nil && s.Site.Allowance.IdleConnTimeout <= 0 {
		return nil, &Fault{Key: "settings.Limits.ConnIdle", What: "is missing"}
	}
	return s, err
}

// Reload reads the file again. Variables do not change while a program runs, so the address of the list's
// service is the file's there.
func Reload(variable func(string) string, read func(string) ([]byte, error)) (*Start, error) {
	return Load(func(name string) string {
		if name == DiscoveryVariable {
			return ""
		}
		return variable(name)
	}, read)
}

// Fixed names the keys of a newer file that differ and that a running front cannot follow.
func (s *Start) Fixed(newer *Start) (keys []string) {
	for key, same := range map[string]bool{
		"name": s.Name == newer.Name, "listen": s.Listen == newer.Listen, "seed": s.Seed == newer.Seed,
		"limits.cores": s.Cores == newer.Cores, "limits.memory_mb": s.Memory == newer.Memory,
		"limits.sockets": s.Sockets == newer.Sockets, "settings": reflect.DeepEqual(s.Site, newer.Site),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (r *reading) address(key, v string) {
	if _, port, err := net.SplitHostPort(v); err != nil || port == "" {
		r.fail(key, fmt.Sprintf("is no address with a port: %q", v))
	}
}

// knownKey is the key of the list as the front had it last.
const knownKey = "known"

// flatten makes dotted paths of nested JSON, as a Source wants them.
func flatten(data []byte) (keys map[string]string, raw map[string]json.RawMessage, err error) {
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, nil, err
	}
	keys = map[string]string{}
	for key, text := range raw {
		if key == knownKey { // a list, which has a form of its own and may be long
			continue
		}
		d := json.NewDecoder(bytes.NewReader(text))
		d.UseNumber()
		var tree any
		if err := d.Decode(&tree); err != nil {
			return nil, nil, err
		}
		spread(keys, key, tree)
	}
	return keys, raw, nil
}

func spread(keys map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, v := range v {
			spread(keys, path+"."+k, v)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, v := range v {
			switch v.(type) {
			case map[string]any, []any:
				spread(keys, path+"."+strconv.Itoa(i), v)
			default:
				plain = append(plain, plainText(v))
			}
		}
		keys[path+".count"] = strconv.Itoa(len(v))
		if len(plain) > 0 {
			keys[path] = strings.Join(plain, ",")
		}
	default:
		keys[path] = plainText(v)
	}
}

func plainText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
