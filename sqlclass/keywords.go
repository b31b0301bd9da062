package sqlclass

import "strings"

// keyword is one of PostgreSQL's keywords.
type keyword struct {
	name  string
	flags keywordFlags
}

// keywordFlags say what a keyword means to the analyzer. A keyword may have several flags, or none.
type keywordFlags uint16

// The flags of keywords.
const (
	flagReserved       keywordFlags = 1 << iota // cannot be the name of a function, so a ( after it does not begin a call
	flagChangesData                             // a verb that changes data
	flagSessionBound                            // a verb that leaves state on its connection, or needs state there
	flagMayWrite                                // another verb that writes or may write
	flagQuery                                   // begins a query
	flagTableOrOperand                          // a ( after it contains a table or an operand, so an alias may follow the )
)

// keywordLists are the keywords from appendix C of PostgreSQL's manual for versions 13 to 17, and the keywords with a meaning
// to the analyzer. A word may be in several lists; its flags are combined.
var keywordLists = []struct {
	flags keywordFlags
	names string
}{
	{flagReserved, `all analyse analyze and any array as asc asymmetric both case cast check collate column constraint
		create current_catalog current_date current_role current_time current_timestamp current_user default
		deferrable desc distinct do else end except false fetch for foreign from grant group having in initially
		intersect into lateral leading limit localtime localtimestamp not null offset on only or order placing
		primary references returning select session_user some symmetric system_user table then to trailing true
		union unique user using variadic when where window with`},
	// Keywords that can be column names but not function names; a ( after them is part of the grammar. Those that call no
	// function themselves are treated as reserved. The others follow without a flag: the lists of functions decide.
	{flagReserved, `between exists grouping values row setof none inout out treat`},
	{0, `bigint bit boolean char character coalesce dec decimal extract float greatest int integer interval
		json json_array json_arrayagg json_exists json_object json_objectagg json_query json_scalar json_serialize
		json_table json_value least merge_action national nchar normalize nullif numeric overlay position precision
		real smallint substring time timestamp trim varchar xmlattributes xmlconcat xmlelement xmlexists xmlforest
		xmlnamespaces xmlparse xmlpi xmlroot xmlserialize xmltable`},
	// These may be names of functions, so only the tokens before them decide.
	{0, `authorization binary collation concurrently cross current_schema freeze full ilike inner is isnull join left
		like natural notnull outer overlaps right similar tablesample verbose`},
	{0, `abort absent absolute access action add admin after aggregate also alter always asensitive assertion
		assignment at atomic attach attribute backward before begin breadth by cache call called cascade cascaded
		catalog chain characteristics checkpoint class close cluster columns comment comments commit committed
		compression conditional configuration conflict connection constraints content continue conversion copy cost
		csv cube current cursor cycle data database day deallocate declare defaults deferred definer delete delimiter
		delimiters depends depth detach dictionary disable discard document domain double drop each empty enable
		encoding encrypted enforced enum error escape event exclude excluding exclusive execute explain expression
		extension external family filter finalize first following force format forward function functions generated
		global granted groups handler header hold hour identity if immediate immutable implicit import include
		including increment indent index indexes inherit inherits inline input insensitive insert instead invoker
		isolation keep key keys label language large last leakproof level listen load local location lock locked
		logged mapping match matched materialized maxvalue merge method minute minvalue mode month move name names
		nested new next nfc nfd nfkc nfkd no normalized nothing notify nowait nulls object objects of off oids old
		omit operator option options ordinality others over overriding owned owner parallel parameter parser partial
		partition passing password path period plan plans policy preceding prepare prepared preserve prior privileges
		procedural procedure procedures program publication quote quotes range read reassign recursive ref referencing
		refresh reindex relative release rename repeatable replace replica reset restart restrict return returns
		revoke role rollback rollup routine routines rows rule savepoint scalar schema schemas scroll search second
		security sequence sequences serializable server session set sets share show simple skip snapshot source split
		sql stable standalone start statement statistics stdin stdout storage stored strict string strip subscription
		support sysid system tables tablespace target temp template temporary text ties transaction transform trigger
		truncate trusted type types uescape unbounded uncommitted unconditional unencrypted unknown unlisten unlogged
		until update vacuum valid validate validator value varying version view views virtual volatile whitespace
		within without work wrapper write xml year yes zone`},
	{flagChangesData, `insert update delete merge`},
	{flagQuery, `select values table with`},
	{flagSessionBound, `begin start commit end abort rollback savepoint release set reset discard prepare execute deallocate
		declare fetch move close listen unlisten load lock copy`},
	{flagMayWrite, `call do create alter drop truncate grant revoke vacuum analyze analyse cluster reindex refresh comment
		security import reassign notify checkpoint`},
	{flagTableOrOperand, `from join lateral only in any all some exists values row array cast using by and or not where on
		having select when then else case limit offset over filter union intersect except distinct`},
}

// keywords has all keywords by name.
var keywords = makeKeywords()

// makeKeywords combines the flags of each keyword's lists.
func makeKeywords() map[string]*keyword {
	all := map[string]*keyword{}
	for _, list := range keywordLists {
		for _, name := range strings.Fields(list.names) {
			if all[name] == nil {
				all[name] = &keyword{name: name}
			}
			all[name].flags |= list.flags
		}
	}
	all["with"].flags &^= flagTableOrOperand
	return all
}

// flagsOf returns the flags of a keyword, or 0 for any other word.
func flagsOf(name string) keywordFlags {
	if kw := keywords[name]; kw != nil {
		return kw.flags
	}
	return 0
}

// readingNames are PostgreSQL's functions that only read or compute, and the types that a cast may name. A function or type
// that is neither here nor on the operator's list makes the class Unknown. Functions that write, lock, signal, sleep, change
// settings, read files of the server, or execute a text as a statement (query_to_xml, ts_stat, dblink) are left out on purpose.
const readingNames = `abs acos acosd age array_agg array_append array_cat array_dims array_fill array_length array_lower
	array_ndims array_position array_positions array_prepend array_remove array_replace array_to_json array_to_string
	array_upper ascii asin asind atan atan2 avg bit_and bit_count bit_length bit_or bool_and bool_or box btrim
	cardinality cbrt ceil ceiling center char_length character_length chr circle clock_timestamp coalesce
	concat concat_ws convert_from convert_to corr cos cosd cot count covar_pop covar_samp cume_dist current_database
	current_schema current_schemas current_setting date_bin date_part date_trunc decode degrees dense_rank diameter div
	encode enum_first enum_last enum_range every exp extract factorial first_value floor format format_type
	gcd generate_series generate_subscripts get_bit get_byte greatest grouping height host initcap
	isempty isfinite json_agg json_array_elements json_array_elements_text json_array_length json_build_array
	json_build_object json_each json_each_text json_extract_path json_extract_path_text json_object json_object_agg
	json_object_keys json_populate_record json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg
	jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each
	jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg
	jsonb_object_keys jsonb_path_exists jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_pretty
	jsonb_set jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days justify_hours
	justify_interval lag last_value lcm lead least left length ln localtime localtimestamp log log10 lower lower_inc lower_inf
	lpad ltrim make_date make_interval make_time make_timestamp make_timestamptz masklen max md5 min mod mode
	multirange netmask network normalize now nth_value ntile nullif num_nonnulls num_nulls numnode octet_length
	overlay percent_rank percentile_cont percentile_disc pg_column_size pg_get_indexdef pg_get_viewdef
	pg_is_in_recovery pg_relation_size pg_size_pretty pg_table_size pg_total_relation_size pg_typeof
	phraseto_tsquery pi plainto_tsquery point polygon position power pg_last_wal_replay_lsn pg_current_wal_lsn
	quote_ident quote_literal quote_nullable radians radius range_agg rank regexp_count regexp_instr regexp_like
	regexp_match regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr regr_count
	regr_intercept regr_r2 regr_slope repeat replace reverse right round row_number row_to_json rpad rtrim scale
	set_bit set_byte setweight sha224 sha256 sha384 sha512 sign sin sind split_part sqrt starts_with statement_timestamp
	stddev stddev_pop stddev_samp string_agg string_to_array string_to_table strip strpos substr substring sum tan
	timeofday to_char to_date to_hex to_json to_jsonb to_number to_timestamp to_tsquery to_tsvector transaction_timestamp
	translate trim trim_array trim_scale trunc ts_headline ts_rank ts_rank_cd tsvector_to_array unnest upper upper_inc
	upper_inf uuid_nil uuid_generate_v4 gen_random_uuid var_pop var_samp variance version websearch_to_tsquery width
	width_bucket xmlagg random rank bernoulli system rollup cube sets
	bigint bit bool boolean bpchar bytea char character cidr cstring date daterange dec decimal double float float4 float8
	inet int int2 int4 int4range int8 int8range integer interval json jsonb line lseg macaddr macaddr8 money name
	national nchar numeric numrange oid path pg_lsn real regclass regnamespace regproc regrole regtype smallint text time
	timestamp timestamptz timetz tsquery tsrange tstzrange tsvector uuid varbit varchar varying xid xid8 xml`

// writingNames are PostgreSQL's functions that write. They take precedence over reading names.
const writingNames = `nextval setval currval lastval lo_create lo_creat lo_unlink lo_import lo_export lo_from_bytea lo_put
	lowrite lo_truncate pg_notify txid_current pg_current_xact_id pg_create_restore_point
	pg_switch_wal pg_terminate_backend pg_cancel_backend pg_reload_conf pg_rotate_logfile pg_promote
	pg_logical_emit_message pg_drop_replication_slot pg_stat_reset dblink dblink_exec query_to_xml`

// sessionBoundNames are functions that leave state on the connection.
const sessionBoundNames = `set_config pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
	pg_advisory_unlock pg_advisory_unlock_shared pg_advisory_unlock_all lo_open loread dblink_connect setseed`

// operatorNames are PostgreSQL's own operators. An operator that was defined by an extension or by a user may call any
// function.
const operatorNames = `+ - * / % ^ < > <= >= = <> != ~ ~* !~ !~* ~~ ~~* !~~ !~~* || && @> <@ -> ->> #> #>> ? ?| ?& @@ @@@ << >>
	& | # @ |/ ||/ <-> &< &> <<| |>> &<| |&> -|- #- @? :: := => <^ >^ ?# ?- ?-| ?|| ~= ~>=~ ~<=~ ~>~ ~<~ ^@ <<= >>= !!`

// wordSet returns the set of the words of a list that are separated by spaces.
func wordSet(words string) map[string]bool {
	m := map[string]bool{}
	for _, w := range strings.Fields(words) {
		m[w] = true
	}
	return m
}

var (
	builtinReads        = wordSet(readingNames)
	builtinWrites       = wordSet(writingNames)
	builtinSessionBound = wordSet(sessionBoundNames)
	builtinOperators    = wordSet(operatorNames)
	aggregates          = wordSet(`array_agg avg bool_and bool_or count every json_agg json_object_agg jsonb_agg jsonb_object_agg max
		min percentile_cont percentile_disc stddev string_agg sum variance`)
)
