//! A valid example document of each kind, and a function to change it.

#![allow(dead_code)] // Each test file uses only some of them.

pub const CONFIGURATION: &str = r#"{"Version":12,
 "Routes":[
  {"Name":"letters","Host":"Post.example:8080","PathPrefix":"/letters/","RouteType":"non_idempotent",
   "TimeoutMs":2500,"TargetLatencyMs":800,"Priority":1,"Backend":"sorting","MaxRetries":3,"Stretch":2.5},
  {"Name":"express","Host":"post.example","PathPrefix":"/letters/express/","RouteType":"idempotent",
   "TimeoutMs":1500,"TargetLatencyMs":200,"Priority":0,"Backend":"couriers","MaxRetries":2,"Stretch":1.5,
   "RatePerS":7.5},
  {"Name":"parcels","Host":"parcels.example","PathPrefix":"/in","TimeoutMs":3000,"Backend":"sorting"}],
 "Backends":[
  {"Name":"sorting","HealthCheck":"/healthz","MaxConnections":32,"Protocol":"h1","Tls":false,"Guards":true},
  {"Name":"couriers"}],
 "Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":100000,"HeaderTimeoutMs":2000,"IdleTimeoutMs":9000}}"#;

pub const JOB: &str = r#"{"Spec":"sort \"all\" \u00e9\n","Stages":[
 {"Count":3,"Cpu":250,"MemMb":128,"EstRuntimeMs":700,"Affinity":"rack-2"},
 {"Count":5,"Cpu":1000,"MemMb":512,"Gpu":1,"DependsOn":[0],"Checkpoints":true,"Gang":true,"RackLocal":true,
  "Constraints":"fast","AntiAffinity":2,"Speculative":true,"LongRunning":true}],
 "StartAtMs":1700000000000,"IntervalMs":60000,"Repeat":4}"#;

pub const SETTINGS: &str = r#"{"NodeId":"core-a-1","Role":"control","MachineClass":"core",
 "Serves":["control_plane"],"Ip":"10.9.0.5","Zone":"a","Region":"north","Zones":{"a":"north","b":"south"},
 "ListenAddrs":{"Control":"10.9.0.5:9000"},"PortRange":[7000,7015],
 "SeedNodes":["10.9.0.5:9000","10.9.1.5:9000"],"Bootstrap":true,"CountsForQuorum":true,
 "Limits":{"CpuShare":0.3,"Cores":2,"MemoryMb":200,"MaxFds":4000,"BandwidthMbps":500.5,"DiskMb":64},
 "DataDir":"/data/control","Discovery":"cloud_api","Entry":"vip","HeartbeatMs":1200,
 "Invariants":["base","sched"],"FaultTolerance":{"Machines":2,"Zones":1,"Regions":0},
 "Bounds":{"SeedLagS":2.5,"ContactMs":3100,"GraceS":7,"HoldMaxMs":5000,"far_x":3,"save_s":1,"new":true},
 "Commands":"rpc",
 "CloudApi":{"Address":"10.200.0.9:8000","RatePerS":20.5,"Duties":[],"LagMs":900}}"#;

pub const INSTANCES: &str = r#"{"Instances":[
 {"Backend":"sorting","Address":"10.8.0.1:80","Zone":"a","Version":"v2","Capacity":8,"State":"ready",
  "WarmupLeftMs":120,"Available":{"Cpu":8000,"MemMb":16384,"Gpu":2},"Labels":["fast","rack-2"],"Id":"i-1"},
 {"Backend":"sorting","Address":"10.8.0.2:80","State":"draining","RemainingMs":2500,"Id":"i-2"}],
 "NextToken":"page-2"}"#;

pub const LEASE_RENEWAL_ANSWER: &str = r#"{"NowMs":9001,
 "Running":[["00000000000000aa.0.1.7",2,"c-1",41]],
 "Finished":[[58,"00000000000000aa.0.1.9",1,"done",""],[59,"00000000000000aa.0.1.8",3,"stopped","c-2"]]}"#;

pub const ORDER_ANSWER: &str = r#"{"NowMs":9002,"Reason":"room","RetryAfterMs":50}"#;

/// Replaces the first `from` in `document` by `to`; panics if `from` is missing.
pub fn changed(document: &str, from: &str, to: &str) -> String {
    assert!(document.contains(from), "{from} is not in the document");
    document.replacen(from, to, 1)
}
