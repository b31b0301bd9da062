package deployment

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

// ReservedDescriptors is how many descriptors are needed beside those of clients and members: the standard ones, the
// listener, discovery, the runtime's own, and a few that are about to close.
const ReservedDescriptors = 32

const (
	leastSockets = ReservedDescriptors + 32
	leastMemory  = 24 // MB
)

// Instance is what a front is told when it starts.
type Instance struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryBytes             int64 // bytes
	MaxDescriptors          int
	CachedList              discovery.List // may be old
	SkippedEndpoints        []error        // entries of it that say nothing usable
	Settings                *Settings
}

// Load reads the variables and the file that they name. The fault names the variable, or the file's key.
func Load(variable func(string) string, read func(string) ([]byte, error)) (*Instance, error) {
	path := variable(FileVariable)
	if path == "" {
		return nil, &KeyError{Key: FileVariable, Problem: "is missing"}
	}
	data, err := read(path)
	if err != nil {
		return nil, &KeyError{FileVariable, fmt.Sprintf("cannot be read: %v", err), true}
	}
	keys, raw, err := flatten(data)
	if err != nil {
		return nil, &KeyError{FileVariable, fmt.Sprintf("is no JSON object: %v", err), true}
	}
	r := &reading{get: func(k string) string { return keys[k] }}
	told := func(name, key string) string { // the variable stands above the file
		if v := variable(name); v != "" {
			return v
		}
		return r.need(key)
	}
	s := &Instance{
		Name: told(NameVariable, "name"), Listen: told(ListenVariable, "listen"),
		Discovery: told(DiscoveryVariable, "discovery"),
		Cores:     r.decimal("limits.cores", 1), MaxDescriptors: int(r.integer("limits.sockets")),
		MemoryBytes: int64(r.decimal("limits.memory_mb", 0) * (1 << 20)),
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
	if s.MaxDescriptors < leastSockets {
		r.fail("limits.sockets", fmt.Sprintf("is too small to work in: below %d", leastSockets))
	}
	if s.MemoryBytes < leastMemory<<20 {
		r.fail("limits.memory_mb", fmt.Sprintf("is too small to work in: below %d", leastMemory))
	}
	if known := raw[knownKey]; known == nil {
		r.fail(knownKey, "is missing")
	} else if s.CachedList, s.SkippedEndpoints, err = discovery.Decode(known); err != nil {
		r.fail(knownKey, "is "+err.Error())
	}
	if raw["settings"] == nil {
		r.fail("settings", "is missing")
	}
	if r.err != nil {
		return nil, r.err
	}
	s.Settings, err = ReadSettings(func(k string) string { return keys["settings."+k] })
	var f *KeyError
	if errors.As(err, &f) {
		return nil, &KeyError{Key: "settings." + f.Key, Problem: f.Problem}
	}
	if err == nil && s.Settings.Limits.DialTimeout <= 0 {
		return nil, &KeyError{Key: "settings.Limits.DialTimeout", Problem: "is missing"}
	}
	if err == nil && s.Settings.Limits.IdleConnTimeout <= 0 {
		return nil, &KeyError{Key: "settings.Limits.ConnIdle", Problem: "is missing"}
	}
	return s, err
}

// Reload reads the file again. Variables do not change while a program runs, so the address of the list's
// service is the file's there.
func Reload(variable func(string) string, read func(string) ([]byte, error)) (*Instance, error) {
	return Load(func(name string) string {
		if name == DiscoveryVariable {
			return ""
		}
		return variable(name)
	}, read)
}

// RestartKeys names the keys of a newer file that differ and that a running front cannot follow.
func (s *Instance) RestartKeys(newer *Instance) (keys []string) {
	for key, same := range map[string]bool{
		"name": s.Name == newer.Name, "listen": s.Listen == newer.Listen, "seed": s.Seed == newer.Seed,
		"limits.cores": s.Cores == newer.Cores, "limits.memory_mb": s.MemoryBytes == newer.MemoryBytes,
		"limits.sockets": s.MaxDescriptors == newer.MaxDescriptors, "settings": reflect.DeepEqual(s.Settings, newer.Settings),
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
