package deployment

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// signedKeys are the numbers of the file that may be negative.
var signedKeys = map[string]bool{"settings.FamilyInfo.Zero": true}

// walkNumbers loads a file that has every key, with each number of its limits and settings in turn replaced by a value, and passes the
// result to check. The numbers of the endpoint list are left out.
func walkNumbers(t *testing.T, value any, check func(key string, err error)) {
	text, err := os.ReadFile("testdata/instance.json")
	require.NoError(t, err)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	require.NoError(t, decoder.Decode(&tree))
	original, err := json.Marshal(tree)
	require.NoError(t, err)
	keys, _, err := flatten(original)
	require.NoError(t, err)
	numbers := 0
	walkValues(nil, tree, nil, func(path []string, set func(any)) {
		key := strings.Join(path, ".")
		if _, err := json.Number(keys[key]).Float64(); err != nil || path[0] != "limits" && path[0] != "settings" {
			return
		}
		numbers++
		set(value)
		file, err := json.Marshal(tree)
		require.NoError(t, err)
		_, err = load(string(file), nil)
		check(key, err)
	})
	require.Greater(t, numbers, 40, "the file has few numbers")
}

// assertKeyError asserts that err is one error that names the key and has a remedy behind a colon.
func assertKeyError(t *testing.T, key string, err error) {
	var keyError *KeyError
	if assert.ErrorAs(t, err, &keyError, key) {
		assert.Equal(t, key, keyError.Key)
		assert.Contains(t, keyError.Problem, ": write ", key)
	}
}

func TestNegativeNumberEndsStart(t *testing.T) {
	walkNumbers(t, json.Number("-1"), func(key string, err error) {
		if signedKeys[key] {
			assert.NoError(t, err, key)
			return
		}
		assertKeyError(t, key, err)
	})
}

func TestNegativeStalenessBoundEndsStart(t *testing.T) {
	_, err := load(strings.Replace(instanceFile, `"StalenessBound":[3000000000,0]`, `"StalenessBound":[0,-1]`, 1), nil)
	assertKeyError(t, "settings.FamilyInfo.StalenessBound", err)
}

// The largest integer is a common way to write that there is no limit. It must neither end the start nor overflow calculations.
func TestHugeNumbersCountAsNoLimit(t *testing.T) {
	walkNumbers(t, json.Number("9223372036854775807"), func(key string, err error) {
		if key == "limits.cores" {
			assertKeyError(t, key, err)
			return
		}
		assert.NoError(t, err, key)
	})
	file := strings.Replace(instanceFile, `"StalenessBound":[3000000000,0]`, `"StalenessBound":[3000000000,9223372036854775807]`, 1)
	instance, err := load(file, nil)
	require.NoError(t, err)
	assert.Equal(t, maxDuration, instance.Settings.RequestTypes[1].MaxStaleness)
}

func TestNumberThatIsNotFiniteEndsStart(t *testing.T) {
	for _, value := range []any{json.Number("1e999"), "NaN", "Inf", "-Inf"} {
		walkNumbers(t, value, func(key string, err error) {
			var keyError *KeyError
			if assert.ErrorAs(t, err, &keyError, "%s %v", key, value) {
				assert.Equal(t, key, keyError.Key, "%v", value)
			}
		})
	}
}

// Lists of names are joined by commas, so the name of a zone with a comma would become two zones.
func TestZoneNameWithCommaEndsStart(t *testing.T) {
	for _, zones := range []string{`["a","b,c"]`, `["a","b c","b,c"]`, `["b c","a,"]`} {
		_, err := load(strings.Replace(instanceFile, `["a","b c"]`, zones, 1), nil)
		assertKeyError(t, "settings.Zones", err)
	}
}
