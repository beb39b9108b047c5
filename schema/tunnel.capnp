@0xd07f6a1c93b24e58;
# First messages of a tunnel between gateway hosts, each in a frame of its own;
# src/paths/tunnel_codec.cpp encodes them.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallotlatch::tunnelwire");

struct TunnelOpen {      # TunnelRequest: from the host that asks.
  from @0 :UInt64;
  instance @1 :Text;
  identity @2 :UInt64;
}

struct TunnelAnswer {    # From the peer.
  refusal @0 :UInt8;     # Number of a TunnelRefusal + 1; 0: the tunnel is open.
}
