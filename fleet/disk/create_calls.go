package disk

import "os"

// CreateCalls are the calls that create the directories and files of a front. Each has the contract of the function of package os with
// the same name.
type CreateCalls struct {
	MkdirAll   func(path string, mode os.FileMode) error
	OpenFile   func(path string, flag int, mode os.FileMode) (*os.File, error)
	CreateTemp func(dir, pattern string) (*os.File, error)
}

// SystemCalls returns the calls of package os.
func SystemCalls() CreateCalls {
	return CreateCalls{MkdirAll: os.MkdirAll, OpenFile: os.OpenFile, CreateTemp: os.CreateTemp}
}
