package config

// Deprecation is one use of a name that a later version no longer reads.
type Deprecation struct {
	Position
	Old, New string
}

// FormsRenamed is Forms for a form some of whose subforms have new names: deprecated maps an old name to the present one. The result
// has the present names; a Form's own Name stays as the file has it, so that errors quote what the operator wrote. known are the
// present names only, and only these are suggested for a misspelt one.
func (f *Form) FormsRenamed(deprecated map[string]string, known ...string) map[string]*Form {
	return f.decoder.forms(f.items, f.Name, known, deprecated)
}

// Deprecations returns the deprecated names that the file uses, in the order in which they were read.
func (d *Decoder) Deprecations() []Deprecation { return d.deprecations }
