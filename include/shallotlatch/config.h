/// \file
/// Compile-time limits. Each limit can be overridden with -D at build time.
#pragma once

#include <cstdint>

/// Maximum number of waiting asks in one pool.
#ifndef SHALLOTLATCH_CONFIG_MAX_WAITING
#define SHALLOTLATCH_CONFIG_MAX_WAITING 16384
#endif

/// Maximum number of requests that one entry host holds, waiting and in flight
/// together.
#ifndef SHALLOTLATCH_CONFIG_MAX_REQUESTS
#define SHALLOTLATCH_CONFIG_MAX_REQUESTS 16384
#endif

/// Maximum number of tiers in a configuration.
#ifndef SHALLOTLATCH_CONFIG_MAX_TIERS
#define SHALLOTLATCH_CONFIG_MAX_TIERS 8
#endif

/// Maximum number of prefix hashes in one ask.
#ifndef SHALLOTLATCH_CONFIG_ASK_PREFIXES
#define SHALLOTLATCH_CONFIG_ASK_PREFIXES 4
#endif

/// Maximum number of entries in one pool's prefix index.
#ifndef SHALLOTLATCH_CONFIG_PREFIX_ENTRIES
#define SHALLOTLATCH_CONFIG_PREFIX_ENTRIES 32768
#endif

/// Number of prompt bytes that are hashed as one prefix block.
#ifndef SHALLOTLATCH_CONFIG_PREFIX_BLOCK_BYTES
#define SHALLOTLATCH_CONFIG_PREFIX_BLOCK_BYTES 256
#endif

/// Number of prompt bytes that are counted as one token where no tokenizer is
/// available.
#ifndef SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN
#define SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN 4
#endif

/// Maximum number of outcomes that one host records for requests that callers
/// send again.
#ifndef SHALLOTLATCH_CONFIG_MAX_OUTCOMES
#define SHALLOTLATCH_CONFIG_MAX_OUTCOMES 4096
#endif

/// Maximum size of one object in the platform's store, in bytes.
#ifndef SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES
#define SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES (1024 * 1024)
#endif
