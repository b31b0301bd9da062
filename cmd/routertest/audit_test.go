package main

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAuditPageNeedsAuditLogs(t *testing.T) {
	dir := t.TempDir()
	c := &auditCommand{Dirs: []string{dir}, Out: filepath.Join(dir, "audit.html")}
	_, err := c.writePage()
	assert.ErrorIs(t, err, errNoAuditLogs)
	assert.NoFileExists(t, c.Out)
}
