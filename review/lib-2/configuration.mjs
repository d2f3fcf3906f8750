/**
 * A configuration as the operator of a small deployment writes it: a plain service, and a model whose layers are split over replicas.
 */
export const LAYERS = 12
export const HOST = 'desk.example'
export const KEY = 'k-0001-aaaa'
export const TENANT = 'tenant-a'

/** @returns the configuration. `routes` are added to the usual ones, or replace those of the same name. */
export function makeConfiguration (version, { routes = [], tenants } = {}) {
  const usual = [
    { Name: 'order-book', Prefix: '/book/', Kind: 'unsafe', TimeoutMs: 1000, TargetLatencyMs: 200, Service: 'desk', MaxAttempts: 2 },
    { Name: 'job-lookup', Prefix: '/look/', Kind: 'safe', TimeoutMs: 1000, TargetLatencyMs: 200, Service: 'desk', MaxAttempts: 2 },
    {
      Name: 'triage',
      Prefix: '/write/',
      Kind: 'streaming',
      TimeoutMs: 20_000,
      TargetLatencyMs: 500,
      TargetGapMs: 200,
      Service: 'model',
      MaxAttempts: 2,
      Resumable: true,
      Sticky: true
    }
  ]
  const names = new Set(routes.map(({ Name }) => Name))
  return {
    Version: version,
    Routes: [...usual.filter(({ Name }) => !names.has(Name)), ...routes]
      .map(route => ({ Host: HOST, Priority: 1, Anonymous: false, ...route })),
    Services: [
      { Name: 'desk', HealthPath: '/health', MaxConnections: 110 },
      {
        Name: 'model',
        HealthPath: '/health',
        MaxConnections: 1078,
        Engine: {
          Slots: 134,
          KvCapacityTokens: 69_791,
          KvTokenBytes: 1000,
          Stride: 1,
          Models: [{ Name: 'm', LoadS: 1 }],
          step_ms: 1,
          per_seq_ms: 0,
          context_per_k: 0,
          read_per_s: 100_000,
          report_lag_ms: 100,
          usual: { prompt: 100, answer: 60 },
          Layers: LAYERS,
          LayerMb: 100,
          ActivationBytes: 100,
          PipeMbps: 22_000,
          Kinds: [{ Name: 'card', Mb: LAYERS * 100 + 2000, pace: 1, ReadX: 1 }]
        }
      }
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: tenants ?? [{ Name: TENANT, ApiKeys: [KEY] }]
  }
}
