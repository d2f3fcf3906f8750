/**
 * The configuration of a small deployment with a model service whose replicas each hold the whole model.
 */

/** @returns the configuration; `fields` change the route of the streams. */
export function engineConfiguration (fields = {}) {
  return {
    Version: 7,
    Routes: [{
      Name: 'leak-triage',
      Host: 'ficu95.example',
      Prefix: '/lohu930/',
      Kind: 'streaming',
      TimeoutMs: 20000,
      TargetLatencyMs: 500,
      Priority: 1,
      Service: 'huvo11a',
      MaxAttempts: 2,
      Anonymous: false,
      Sticky: true,
      Resumable: true,
      TargetGapMs: 200,
      ...fields
    }],
    Services: [{
      Name: 'huvo11a',
      HealthPath: '/health',
      MaxConnections: 1078,
      Protocol: 'h1',
      Tls: false,
      Engine: {
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
    }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 },
    Tenants: [{ Name: 'hule930', ApiKeys: ['n2ctnfzs989anu6wsjnb'], Priority: 1 }]
  }
}

export const KEY = 'n2ctnfzs989anu6wsjnb'
/** Headers of a request for a generation. */
export const GENERATION_HEADERS = { 'X-Model': 'daka510000', 'X-Token-Counts': '800,60', 'X-Prompt-Prefix': '5c1e07a2:40,e4402b7d:760' }
