package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const entryText = `{"v":1,"cmd":%q,"head":"abc","dirty":false,"site":"s","days":[
	{"name":"scale-1","G":%s,"rules":%s,"gate":true},{"name":"fresh-1","G":0.9,"rules":{},"gate":true}]}`

// writeEntries fills a journal: each name with its command, worth and rules.
func writeEntries(t *testing.T, entries map[string][3]string) string {
	folder := t.TempDir()
	for name, parts := range entries {
		text := strings.Replace(entryText, "%q", `"`+parts[0]+`"`, 1)
		text = strings.Replace(text, "%s", parts[1], 1)
		text = strings.Replace(text, "%s", parts[2], 1)
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name+".json"), []byte(text), 0o600))
	}
	return folder
}

func TestPlaysAreComparedWithTheSpreadBefore(t *testing.T) {
	cases := []struct {
		now  string
		want verdict
	}{{"0.55", same}, {"0.48", same}, {"0.46", lower}, {"0.64", higher}}
	for _, test := range cases {
		folder := writeEntries(t, map[string][3]string{
			"1": {"run", "0.50", "{}"}, "2": {"score", "0.60", "{}"}, "3": {"hunt", "0.01", "{}"}, "4": {"run", test.now, `{"LOST":2}`},
		})
		plays, err := readJournal(folder)
		assert.NilError(t, err)
		all := group(plays, "4")
		assert.Equal(t, len(all), 1)
		assert.Equal(t, all[0].judge(), test.want, test.now)
		var out bytes.Buffer
		assert.NilError(t, printTable(&out, all))
		assert.Assert(t, strings.Contains(out.String(), "LOST 2"), out.String())
	}
}

func TestADayWithoutAnEarlierPlay(t *testing.T) {
	plays, err := readJournal(writeEntries(t, map[string][3]string{"4": {"run", "0.5", "{}"}}))
	assert.NilError(t, err)
	all := group(plays, "4")
	assert.Equal(t, all[0].judge(), onlyNow)
	assert.Assert(t, played(plays, "abc", "s", "scale-1"))
	assert.Assert(t, !played(plays, "abd", "s", "scale-1"))
}

func TestABrokenEntryIsNamed(t *testing.T) {
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "7.json"), []byte("{"), 0o600))
	_, err := readJournal(folder)
	assert.ErrorContains(t, err, "7.json")
}
