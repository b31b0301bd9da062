package disk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dapplerouter/fleet/audit"
)

// ExportSegment copies the two files of a closed segment from directory dir to directory to, under the same names. Each file appears
// there complete or not at all. A copy that already exists with the same content counts as exported, so an export of unknown outcome can
// be repeated. If a copy exists with different content, the error is ErrSegmentConflict and the copy is left unchanged.
func ExportSegment(dir, name, to string) error {
	for _, suffix := range []string{audit.IndexSuffix, audit.LogSuffix} { // the log file last: a reader that finds it also finds the index
		b, err := os.ReadFile(filepath.Join(dir, name+suffix))
		if err == nil {
			err = WriteOnce(to, name+suffix, b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteOnce writes a new file into directory to, complete or not at all. It succeeds if the file already exists with the same content. If
// the file exists with different content, the error is ErrSegmentConflict and the file is left unchanged.
func WriteOnce(to, name string, b []byte) error {
	path := filepath.Join(to, name)
	existing, err := os.ReadFile(path)
	switch {
	case err == nil && bytes.Equal(existing, b):
		return nil
	case err == nil:
		return fmt.Errorf("%s: %w: two fronts have the same name, or a log was restored from an old copy; move the file away to continue",
			path, ErrSegmentConflict)
	case !errors.Is(err, os.ErrNotExist):
		return err
	}
	temporary, err := writeTemporary(os.CreateTemp, to, b)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary) }()      // either its content is linked under the final name, or it is not needed
	if err := os.Link(temporary, path); err != nil { // unlike a rename, a link never replaces a file
		return err
	}
	return syncDir(to)
}

// syncDir makes the names of new files in a directory durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ReplaceFile writes a file, replacing an existing one atomically: path has either the old or the complete new content.
func ReplaceFile(path string, b []byte) error {
	temporary, err := writeTemporary(os.CreateTemp, filepath.Dir(path), b)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary) // the old file stays in use
		return err
	}
	return nil
}

// writeTemporary writes b to a new temporary file in dir, syncs it and returns its path; create is os.CreateTemp or a replacement. After an
// error no temporary file is left.
func writeTemporary(create func(dir, pattern string) (*os.File, error), dir string, b []byte) (path string, err error) {
	f, err := create(dir, ".coming-*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(b)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(f.Name()) // only the first error is reported
	}
	return f.Name(), err
}
