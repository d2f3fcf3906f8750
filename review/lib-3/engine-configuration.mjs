/**
 * Configurations of a small deployment with model services.
 */

const ENGINE = {
  Slots: 134,
  KvCapacityTokens: 69791,
  KvTokenBytes: 1315343,
  LinkMbps: 400000,
  Stride: 3,
  Models: [{ Name: 'daka510000', pace: 1, LoadS: 14, WarmupS: 1 }],
  step_ms: 1.02,
  per_seq_ms: 0.0102,
  context_per_k: 0.0137,
  read_per_s: 105000,
  chunk: 512,
  report_lag_ms: 200,
  usual: { prompt: 774, answer: 204 }
}

/** @returns a route for streams of a service. */
export function routeTo (service, prefix, fields = {}) {
  return {
    Name: 'leak-triage',
    Host: 'ficu95.example',
    Prefix: prefix,
    Kind: 'streaming',
    TimeoutMs: 20000,
    TargetLatencyMs: 500,
    Priority: 1,
    Service: service,
    MaxAttempts: 2,
    Anonymous: false,
    Sticky: true,
    Resumable: true,
    TargetGapMs: 200,
    ...fields
  }
}

export function plainService (name) {
  return { Name: name, HealthPath: '/health', MaxConnections: 110, Protocol: 'h1', Tls: false }
}

/** @returns a model service whose replicas hold layers as they are ordered to. */
export function cardService (name) {
  const models = [{ Name: 'daka510000', pace: 1, LoadS: 2, WarmupS: 1 }]
  const kinds = [{ Name: 'l40s', Mb: 43200, pace: 5.6, ReadX: 2.7 }]
  const layers = { Layers: 8, LayerMb: 1750, ActivationBytes: 65767, PipeMbps: 22000, Kinds: kinds }
  const engine = { ...ENGINE, KvTokenBytes: 131543, Models: models, loads_at_once: 5, ...layers }
  return { ...plainService(name), MaxConnections: 1078, Engine: engine }
}

/** @returns a configuration with one model service whose replicas each hold the whole model; `fields` change the route of the streams. */
export function engineConfiguration (fields = {}) {
  return {
    Version: 7,
    Routes: [routeTo('huvo11a', '/lohu930/', fields)],
    Services: [{ ...plainService('huvo11a'), MaxConnections: 1078, Engine: ENGINE }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{ Name: 'hule930', ApiKeys: ['n2ctnfzs989anu6wsjnb'], Priority: 1 }]
  }
}

export const KEY = 'n2ctnfzs989anu6wsjnb'
/** Headers of a request for a generation. */
export const GENERATION_HEADERS = { 'X-Model': 'daka510000', 'X-Token-Counts': '800,60', 'X-Prompt-Prefix': '5c1e07a2:40,e4402b7d:760' }
