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

// Environment variables that an instance reads when it starts.
const (
	NameVariable      = "EDGE_NAME"
	ListenVariable    = "EDGE_LISTEN"
	DiscoveryVariable = "EDGE_DISCOVERY"
	FileVariable      = "EDGE_CONFIG"
)

// ReservedDescriptors is the number of descriptors needed for other purposes than clients and server connections: the standard
// streams, the listener, discovery, the Go runtime, and a few connections that are being closed.
const ReservedDescriptors = 32

// Bounds of the limits of an instance.
const (
	minDescriptors = ReservedDescriptors + 32
	minMemoryMB    = 24
	maxCores       = 1 << 16
)

// Top-level keys of the file that are read separately.
const (
	cachedListKey = "known"
	settingsKey   = "settings"
)

// Instance is the configuration that an instance reads when it starts.
type Instance struct {
	Name, Listen, Discovery string // Listen and Discovery are addresses with a port
	Seed                    uint64
	Cores                   float64
	MemoryBytes             int64
	MaxDescriptors          int
	CachedList              discovery.List // endpoint list to start with; may be outdated
	SkippedEndpoints        []error        // unusable endpoints of CachedList, each a *discovery.EndpointError
	Settings                *Settings
}

// Load reads the environment variables and the file that one of them names. A variable takes precedence over the key of the
// same meaning in the file. The error is a *KeyError that names the variable or the key.
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
	reader := &keyReader{get: func(k string) string { return keys[k] }}
	instance := &Instance{
		Name: reader.variableOrRequired(variable(NameVariable), "name"), Listen: reader.variableOrRequired(variable(ListenVariable), "listen"),
		Discovery: reader.variableOrRequired(variable(DiscoveryVariable), "discovery"),
	}
	instance.readLimits(reader)
	instance.Seed = reader.hexadecimal("seed")
	reader.checkAddress("listen", instance.Listen)
	reader.checkAddress("discovery", instance.Discovery)
	instance.checkLimits(reader)
	instance.readCachedList(reader, raw[cachedListKey])
	if raw[settingsKey] == nil {
		reader.fail(settingsKey, "is missing")
	}
	if reader.err != nil {
		return nil, reader.err
	}
	instance.Settings, err = readFileSettings(keys)
	if err != nil {
		return nil, err
	}
	return instance, nil
}

// readLimits reads the limits of the instance from the file.
func (s *Instance) readLimits(r *keyReader) {
	s.Cores = r.decimal("limits.cores", 1)
	s.MaxDescriptors = r.count("limits.sockets")
	s.MemoryBytes = int64(r.decimal("limits.memory_mb", 0) * (1 << 20))
	r.required("limits.memory_mb")
}

// checkLimits checks that the limits are high enough for an instance to run.
func (s *Instance) checkLimits(r *keyReader) {
	switch {
	case s.Cores <= 0:
		r.fail("limits.cores", "is not above 0")
	case s.Cores > maxCores:
		r.fail("limits.cores", fmt.Sprintf("is too large: write %d at most", maxCores))
	}
	if s.MaxDescriptors < minDescriptors {
		r.fail("limits.sockets", fmt.Sprintf("is too small to work in: below %d", minDescriptors))
	}
	if s.MemoryBytes < minMemoryMB<<20 {
		r.fail("limits.memory_mb", fmt.Sprintf("is too small to work in: below %d", minMemoryMB))
	}
}

// readCachedList decodes the endpoint list to start with, which is part of the instance's configuration file, into CachedList and
// SkippedEndpoints. data is its JSON, or nil if the file has none. It records an error in r for a missing or malformed list.
func (s *Instance) readCachedList(r *keyReader, data json.RawMessage) {
	if data == nil {
		r.fail(cachedListKey, "is missing")
		return
	}
	var err error
	if s.CachedList, s.SkippedEndpoints, err = discovery.Decode(data); err != nil {
		r.failWithCause(cachedListKey, "is "+err.Error(), err)
	}
}

// readFileSettings reads the settings of the file, whose keys begin with a prefix. It also checks the settings that are only
// needed by an instance with real connections.
func readFileSettings(keys map[string]string) (*Settings, error) {
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

// Reload reads the file again. Environment variables do not change while a process runs, so the discovery address is taken from
// the file even if the variable is set.
func Reload(variable func(string) string, read func(string) ([]byte, error)) (*Instance, error) {
	return Load(func(name string) string {
		if name == DiscoveryVariable {
			return ""
		}
		return variable(name)
	}, read)
}

// RestartKeys returns the keys whose values differ in a newer file and only take effect after a restart, in sorted order.
func (s *Instance) RestartKeys(newer *Instance) (keys []string) {
	for key, unchanged := range map[string]bool{
		"name": s.Name == newer.Name, "listen": s.Listen == newer.Listen, "seed": s.Seed == newer.Seed,
		"limits.cores": s.Cores == newer.Cores, "limits.memory_mb": s.MemoryBytes == newer.MemoryBytes,
		"limits.sockets": s.MaxDescriptors == newer.MaxDescriptors, settingsKey: reflect.DeepEqual(s.Settings, newer.Settings),
	} {
		if !unchanged {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// flatten converts nested JSON to a map from dotted paths to texts, in the form that Source describes. raw holds the JSON text
// of each top-level key. The cached endpoint list is not flattened.
func flatten(data []byte) (keys map[string]string, raw map[string]json.RawMessage, err error) {
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, nil, err
	}
	keys = map[string]string{}
	for key, text := range raw {
		if key == cachedListKey { // it has its own format and may be long
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

// flattenValue adds a value, and the values nested in it, under a path.
func flattenValue(keys map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, v := range v {
			flattenValue(keys, path+"."+k, v)
		}
	case []any:
		scalars := make([]string, 0, len(v))
		for i, v := range v {
			switch v.(type) {
			case map[string]any, []any:
				flattenValue(keys, path+"."+strconv.Itoa(i), v)
			default:
				scalars = append(scalars, scalarText(v))
			}
		}
		keys[path+".count"] = strconv.Itoa(len(v))
		if len(scalars) > 0 {
			keys[path] = strings.Join(scalars, ",")
		}
	default:
		keys[path] = scalarText(v)
	}
}

// scalarText returns the text of a value that is neither a list nor an object. The text of null is empty.
func scalarText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}
