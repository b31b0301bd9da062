package deployment

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

const instanceFile = `{"name":"n3","listen":"127.0.0.1:5432","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"index":41,"snapshot":true,"endpoints":[
  {"name":"s-1","address":"127.0.0.3:5432","zone":"a","type":"m2","group":3,"status":"up","weight":1.5,"since_ms":7,"role":"primary"},
  {"name":"s-2","zone":"a","type":"m2","group":3,"status":"up"}]},
 "settings":{"Zones":["a","b c"],"Locality":"b c","FleetSize":3,"Ordinal":1,"Discovery":"push","Tick":5000000,
  "Classes":[{"Name":"browse","Aim":250000000,"Deadline":1000000000,"Effect":"read_like","Group":"all","Worth":1.0,"LateWorth":0.0,"Window":null},
   {"Name":"order","Aim":1,"Deadline":2,"Effect":"idempotency_key","Group":"cell","Window":3}],
  "Tenants":[{"Name":"t1","QuotaPerS":184.5,"Share":0.59}],
  "FamilyInfo":{"ReadLevel":["lag_bound","mutate"],"StalenessBound":[3000000000,0],"RoleListed":"trailing","Checks":"await",
   "HoldsFor":50000000,"WriteMarks":"kept","TellsPosition":true},
  "Rules":{"AnswerSlack":20000000,"StopSendingWithin":2000000000,"Cold":1,"Fall":2},
  "Limits":{"AttemptsCap":10,"MayProbe":true,"DialTimeout":250000000,"ConnIdle":30000000000},"New":{"Key":[[1]]}}}`

// load calls Load with a file of the given text and the given environment variables.
func load(text string, variables map[string]string) (*Instance, error) {
	return Load(func(k string) string {
		if k == FileVariable && variables[k] == "" {
			return "file"
		}
		return variables[k]
	}, func(string) ([]byte, error) { return []byte(text), nil })
}

func TestLoadInstance(t *testing.T) {
	instance, err := load(instanceFile, map[string]string{"EDGE_LISTEN": "127.0.0.9:1"})
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.9:1", instance.Listen, "the variable takes precedence over the file")
	assert.Equal(t, uint64(0x8c1f30d27a5be964), instance.Seed)
	assert.Equal(t, int64(192<<20), instance.MemoryBytes)
	assert.Len(t, instance.CachedList.Endpoints, 1)
	assert.Len(t, instance.SkippedEndpoints, 1, "the server without an address is skipped")
	assert.Equal(t, []string{"browse", "order"}, instance.Settings.TypeNames)
	assert.Equal(t, routing.BoundedStaleness, instance.Settings.RequestTypes[0].Consistency)
	assert.Equal(t, 3*time.Second, instance.Settings.RequestTypes[0].MaxStaleness)
	assert.Equal(t, routing.IdempotencyKey, instance.Settings.RequestTypes[1].Idempotency)
	assert.Equal(t, 1, instance.Settings.Topology.Zone)
	assert.Equal(t, 184.5, instance.Settings.CustomerQuotas[0].RequestsPerSecond)
	assert.Equal(t, 250*time.Millisecond, instance.Settings.Limits.DialTimeout)
}

func TestKeyErrorNamesItsKey(t *testing.T) {
	for change, key := range map[string]string{
		`"seed":"8c1f30d27a5be964"=>"seed":"x"`:           "seed",
		`"listen":"127.0.0.1:5432"=>"listen":"127.0.0.1"`: "listen",
		`"discovery":"127.0.0.2:8500",=>`:                 "discovery",
		`"memory_mb":192=>"memory_mb":8`:                  "limits.memory_mb",
		`"memory_mb":192,=>`:                              "limits.memory_mb",
		`"sockets":1024=>"sockets":40`:                    "limits.sockets",
		`"sockets":1024=>"sockets":"many"`:                "limits.sockets",
		`"cores":1.0=>"cores":-1`:                         "limits.cores",
		`"known":{=>"known":[],"x":{`:                     "known",
		`"index":41,=>`:                                   "known",
		`"settings":{=>"x":{`:                             "settings",
		`"Locality":"b c"=>"Locality":"c"`:                "settings.Locality",
		`"Aim":250000000=>"Aim":"soon"`:                   "settings.Classes.0.Aim",
		`"Aim":250000000=>"Aim":-1`:                       "settings.Classes.0.Aim",
		`"Worth":1.0=>"Worth":"NaN"`:                      "settings.Classes.0.Worth",
		`"read_like"=>"harmless"`:                         "settings.Classes.0.Effect",
		`"lag_bound",=>`:                                  "settings.FamilyInfo.ReadLevel",
		`"MayProbe":true=>"MayProbe":"maybe"`:             "settings.Limits.MayProbe",
		`"New":{=>"Stats":{"Source":"guess"},"New":{`:     "settings.Stats.Source",
		`"Discovery":"push"=>"Discovery":"shout"`:         "settings.Discovery",
		`"TellsPosition":true=>"TellsPosition":"often"`:   "settings.FamilyInfo.TellsPosition",
		`"MayProbe":true=>"RetryAfter":"soon"`:            "settings.Limits.RetryAfter",
		`"MayProbe":true=>"MaxRetryAfter":"soon"`:         "settings.Limits.MaxRetryAfter",
		`"DialTimeout":250000000=>"x":1`:                  "settings.Limits.DialTimeout",
		`"ConnIdle":30000000000=>"x":1`:                   "settings.Limits.ConnIdle",
		`"Key":[[1]]}}}=>"Key":1}}} {}`:                   FileVariable,
		`"name":"n3"=>"name":}`:                           FileVariable,
		`"Name":"order"=>"Name":"browse"`:                 "settings.Classes",
		`"Zones":["a","b c"]=>"Zones":["a","b c","a"]`:    "settings.Zones",
		`{"Name":"t1",=>{"Name":"t1"},{"Name":"t1",`:      "settings.Tenants",
	} {
		from, to, _ := strings.Cut(change, "=>")
		require.Contains(t, instanceFile, from)
		_, err := load(strings.Replace(instanceFile, from, to, 1), nil)
		var keyError *KeyError
		require.ErrorAs(t, err, &keyError, change)
		assert.Equal(t, key, keyError.Key, change)
	}
	_, err := Load(func(string) string { return "" }, nil)
	assert.ErrorContains(t, err, FileVariable+" is missing")
	_, err = Load(func(string) string { return "file" }, func(string) ([]byte, error) { return nil, errors.New("no such file") })
	assert.ErrorContains(t, err, FileVariable+" cannot be read: no such file")
	_, err = Load(func(string) string { return "file" }, func(string) ([]byte, error) { return nil, fs.ErrNotExist })
	assert.ErrorIs(t, err, fs.ErrNotExist)
	_, err = load(strings.Replace(instanceFile, `"index":41,`, "", 1), nil)
	assert.ErrorIs(t, err, discovery.ErrNoIndex)
}

// Load reports and Retry-After are off unless the settings turn them on.
func TestLoadReportsAndRetryAfterSettings(t *testing.T) {
	instance, err := load(instanceFile, nil)
	require.NoError(t, err)
	assert.False(t, instance.Settings.Replication.LoadInResponses)
	assert.Zero(t, instance.Settings.Limits.MaxRetryAfter, "no setting allows one")
	for retryAfter, want := range map[string]time.Duration{"true": time.Second, "false": 0} {
		instance, err = load(strings.NewReplacer(`"New":{`, `"Stats":{"Source":"piggyback"},"New":{`, `"MayProbe":true`,
			`"MayProbe":true,"MaxRetryAfter":1000000000,"RetryAfter":`+retryAfter).Replace(instanceFile), nil)
		require.NoError(t, err)
		assert.True(t, instance.Settings.Replication.LoadInResponses)
		assert.Equal(t, want, instance.Settings.Limits.MaxRetryAfter)
	}
}

func TestSetLoadFieldUnderEitherName(t *testing.T) {
	l := EmptyLoad
	SetLoadField(&l, "x0", 12.5, -10*time.Second)
	SetLoadField(&l, "x1", 0, 0)
	SetLoadField(&l, "inflight", 3, 0)
	SetLoadField(&l, "unheard_of", 9, 0)
	assert.Equal(t, routing.LoadReport{InFlight: 3, Queued: -1, Utilization: -1, LatencyMillis: -1, RequestRate: -1, ErrorRate: -1,
		Position: 2500 * time.Millisecond, HasPosition: true, Role: routing.Replica}, l)
}

func TestReloadUsesDiscoveryAddressOfFile(t *testing.T) {
	old, err := load(instanceFile, map[string]string{DiscoveryVariable: "127.0.0.2:8500"})
	require.NoError(t, err)
	changed := strings.NewReplacer(`127.0.0.2:8500`, `127.0.0.7:8500`, `"sockets":1024`, `"sockets":512`,
		`"MayProbe":true`, `"MayProbe":false`).Replace(instanceFile)
	next, err := Reload(func(k string) string {
		return map[string]string{FileVariable: "f",
			DiscoveryVariable: "127.0.0.2:8500"}[k]
	}, func(string) ([]byte, error) { return []byte(changed), nil })
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.7:8500", next.Discovery, "the variable has its value from the start of the process")
	assert.Equal(t, []string{"limits.sockets", "settings"}, old.RestartKeys(next))
	assert.Empty(t, old.RestartKeys(old))
}
