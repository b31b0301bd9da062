package sqlclass

// Classes of bytes: the bits of charClass.
const (
	classSpace     = 1 << iota
	classNameStart // begins a name
	classNamePart  // may be part of a name
	classDigit
	classOperator
	classPunctuation
	classSinglePunctuation // a punctuation mark that never begins a longer token
)

// Kinds of tokens that a byte may begin: the values of leadClass. Normalize selects its fast paths by them.
const (
	leadOther = iota
	leadSpace
	leadWord
	leadPunctuation
	leadDot
	leadDigit
	leadQuote
	leadOperator
)

// Tables that are indexed by a byte.
var (
	charClass = makeCharClass() // the classes of the byte
	leadClass = makeLeadClass() // the kind of token that the byte may begin
	lowerCase = makeLowerCase() // the byte in lower case; 0 for a byte that cannot be part of a name
)

// makeCharClass returns the bits of charClass for each byte, by PostgreSQL's lexical rules.
func makeCharClass() (class [256]uint8) {
	for c := range class {
		switch {
		case c == ' ' || c >= '\t' && c <= '\r':
			class[c] = classSpace
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80:
			class[c] = classNameStart | classNamePart
		case c >= '0' && c <= '9':
			class[c] = classDigit | classNamePart
		case c == '$':
			class[c] = classNamePart
		}
	}
	for _, c := range "+-*/<>=~!@#%^&|`?" {
		class[c] |= classOperator
	}
	for _, c := range "()[],;.:" {
		class[c] |= classPunctuation
	}
	for _, c := range "()[],;" {
		class[c] |= classSinglePunctuation
	}
	return class
}

// makeLeadClass returns the value of leadClass for each byte, derived from charClass.
func makeLeadClass() (lead [256]uint8) {
	for c, class := range charClass {
		switch {
		case class&classSpace != 0:
			lead[c] = leadSpace
		case class&classNameStart != 0:
			lead[c] = leadWord
		case class&classSinglePunctuation != 0:
			lead[c] = leadPunctuation
		case class&classDigit != 0:
			lead[c] = leadDigit
		case class&classOperator != 0:
			lead[c] = leadOperator
		}
	}
	lead['.'], lead['\''] = leadDot, leadQuote
	return lead
}

// makeLowerCase returns the value of lowerCase for each byte.
func makeLowerCase() (low [256]byte) {
	for c, class := range charClass {
		if class&classNamePart == 0 {
			continue
		}
		low[c] = byte(c)
		if c >= 'A' && c <= 'Z' {
			low[c] += 'a' - 'A'
		}
	}
	return low
}
