/// \file
/// Compile-time limits. Each can be overridden with -D at build time.
#pragma once

#include <cstdint>

/// Waiting asks that one pool keeps at the most.
#ifndef SHALLOTLATCH_CONFIG_MAX_WAITING
#define SHALLOTLATCH_CONFIG_MAX_WAITING 16384
#endif

/// Requests that one entry host holds at the most, waiting and in flight.
#ifndef SHALLOTLATCH_CONFIG_MAX_REQUESTS
#define SHALLOTLATCH_CONFIG_MAX_REQUESTS 16384
#endif

/// Tiers in a configuration.
#ifndef SHALLOTLATCH_CONFIG_MAX_TIERS
#define SHALLOTLATCH_CONFIG_MAX_TIERS 8
#endif

/// Prefix hashes carried by one ask.
#ifndef SHALLOTLATCH_CONFIG_ASK_PREFIXES
#define SHALLOTLATCH_CONFIG_ASK_PREFIXES 4
#endif

/// Entries of one pool's prefix index.
#ifndef SHALLOTLATCH_CONFIG_PREFIX_ENTRIES
#define SHALLOTLATCH_CONFIG_PREFIX_ENTRIES 32768
#endif

/// Prompt bytes hashed as one prefix block.
#ifndef SHALLOTLATCH_CONFIG_PREFIX_BLOCK_BYTES
#define SHALLOTLATCH_CONFIG_PREFIX_BLOCK_BYTES 256
#endif

/// Bytes of prompt text counted as one token when no tokenizer is at hand.
#ifndef SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN
#define SHALLOTLATCH_CONFIG_BYTES_PER_TOKEN 4
#endif

/// Recorded outcomes that one host keeps for resent requests.
#ifndef SHALLOTLATCH_CONFIG_MAX_OUTCOMES
#define SHALLOTLATCH_CONFIG_MAX_OUTCOMES 4096
#endif

/// Bytes of an object in the platform's service.
#ifndef SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES
#define SHALLOTLATCH_CONFIG_MAX_OBJECT_BYTES (1024 * 1024)
#endif
