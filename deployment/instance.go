package deployment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"dapplerouter/discovery"
)

// The environment variables that an instance is started with.
const (
	NameVariable      = "EDGE_NAME"
	ListenVariable    = "EDGE_LISTEN"
	DiscoveryVariable = "EDGE_DISCOVERY"
	FileVariable      = "EDGE_CONFIG"
)

// ReservedDescriptors is how many descriptors are needed beside those of clients and server connections: the standard ones, the
// listener, discovery, the runtime's own, and a few that are about to close.
const ReservedDescriptors = 32

const (
	minDescriptors = ReservedDescriptors + 32
	minMemoryMB    = 24
)

// Keys of the file.
const (
	cachedListKey = "known"
	settingsKey   = "settings"
)

// Instance is what an instance is configured with when it starts.
type Instance struct {
	Name, Listen, Discovery string // Listen and Discovery are addresses with a port
	Seed                    uint64
	Cores                   float64
	MemoryBytes             int64
	MaxDescriptors          int
	CachedList              discovery.List // may be out of date
	SkippedEndpoints        []error        // its endpoints that cannot be used, each a *discovery.EndpointError
	Settings                *Settings
}

// Load reads the environment variables and the file that they name; a variable goes before the key of the same meaning in the file.
// The error is a *KeyError that names the variable, or the file's key.
func Load(variable func(string) string, read func(string) ([]byte, error)) (*Instance, error) {
	path := variable(FileVariable)
	if path == "" {
		return nil, &KeyError{Key: FileVariable, Problem: "is missing"}
	}
	data, err := read(path)
	if err != nil {
		return nil, &KeyError{Key: FileVariable, Problem: fmt.Sprintf("cannot be read: %v", err), Transient: true, Err: err}
	}
	keys, raw, err := flatten(data)
	if err != nil {
		return nil, &KeyError{Key: FileVariable, Problem: fmt.Sprintf("is no JSON object: %v", err), Transient: true, Err: err}
	}
	r := &keyReader{get: func(k string) string { return keys[k] }}
	s := &Instance{
		Name: r.overridable(variable(NameVariable), "name"), Listen: r.overridable(variable(ListenVariable), "listen"),
		Discovery: r.overridable(variable(DiscoveryVariable), "discovery"),
	}
	s.readLimits(r)
	s.Seed = r.hexadecimal("seed")
	r.checkAddress("listen", s.Listen)
	r.checkAddress("discovery", s.Discovery)
	s.checkLimits(r)
	s.readCachedList(r, raw[cachedListKey])
	if raw[settingsKey] == nil {
		r.fail(settingsKey, "is missing")
	}
	if r.err != nil {
		return nil, r.err
	}
	s.Settings, err = readSettingsOfFile(keys)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Instance) readLimits(r *keyReader) {
	s.Cores = r.decimal("limits.cores", 1)
	s.MaxDescriptors = int(r.integer("limits.sockets"))
	s.MemoryBytes = int64(r.decimal("limits.memory_mb", 0) * (1 << 20))
	r.required("limits.memory_mb")
}

func (s *Instance) checkLimits(r *keyReader) {
	if s.Cores <= 0 {
		r.fail("limits.cores", "is not above 0")
	}
	if s.MaxDescriptors < minDescriptors {
		r.fail("limits.sockets", fmt.Sprintf("is too small to work in: below %d", minDescriptors))
	}
	if s.MemoryBytes < minMemoryMB<<20 {
		r.fail("limits.memory_mb", fmt.Sprintf("is too small to work in: below %d", minMemoryMB))
	}
}

func (s *Instance) readCachedList(r *keyReader, data json.RawMessage) {
	if data == nil {
		r.fail(cachedListKey, "is missing")
		return
	}
	var err error
	if s.CachedList, s.SkippedEndpoints, err = discovery.Decode(data); err != nil {
		r.failWith(cachedListKey, "is "+err.Error(), err)
	}
}

// readSettingsOfFile reads the settings and checks what an instance with real connections needs beyond them.
func readSettingsOfFile(keys map[string]string) (*Settings, error) {
	const prefix = settingsKey + "."
	s, err := ReadSettings(func(k string) string { return keys[prefix+k] })
	var problem *KeyError
	if errors.As(err, &problem) {
		return nil, &KeyError{Key: prefix + problem.Key, Problem: problem.Problem, Err: problem.Err}
	}
	if err != nil {
		return nil, err
	}
	if s.Limits.DialTimeout <= 0 {
		return nil, &KeyError{Key: prefix + "Limits.DialTimeout", Problem: "is missing"}
	}
	if s.Limits.IdleConnTimeout <= 0 {
		return nil, &KeyError{Key: prefix + "Limits.ConnIdle", Problem: "is missing"}
	}
	return s, nil
}

// Reload reads the file again. Variables do not change while a process runs, so the address of the discovery service is the file's.
func Reload(variable func(string) string, read func(string) ([]byte, error)) (*Instance, error) {
	return Load(func(name string) string {
		if name == DiscoveryVariable {
			return ""
		}
		return variable(name)
	}, read)
}

// RestartKeys returns the keys whose values differ in a newer file and take a restart.
func (s *Instance) RestartKeys(newer *Instance) (keys []string) {
	for key, same := range map[string]bool{
		"name": s.Name == newer.Name, "listen": s.Listen == newer.Listen, "seed": s.Seed == newer.Seed,
		"limits.cores": s.Cores == newer.Cores, "limits.memory_mb": s.MemoryBytes == newer.MemoryBytes,
		"limits.sockets": s.MaxDescriptors == newer.MaxDescriptors, settingsKey: reflect.DeepEqual(s.Settings, newer.Settings),
	} {
		if !same {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// flatten makes dotted paths of nested JSON, as a Source has them. raw has the text of each key at the top.
func flatten(data []byte) (keys map[string]string, raw map[string]json.RawMessage, err error) {
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, nil, err
	}
	keys = map[string]string{}
	for key, text := range raw {
		if key == cachedListKey { // which has a format of its own and may be long
			continue
		}
		d := json.NewDecoder(bytes.NewReader(text))
		d.UseNumber()
		var tree any
		if err := d.Decode(&tree); err != nil {
			return nil, nil, err
		}
		flattenValue(keys, key, tree)
	}
	return keys, raw, nil
}

// flattenValue adds a value and what is in it under a path.
func flattenValue(keys map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, v := range v {
			flattenValue(keys, path+"."+k, v)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for i, v := range v {
			switch v.(type) {
			case map[string]any, []any:
				flattenValue(keys, path+"."+strconv.Itoa(i), v)
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

// plainText returns the text of a value that is neither a list nor an object, "" for null.
func plainText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
