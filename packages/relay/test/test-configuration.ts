/**
 * Builds small configurations for tests.
 */
import {
  AnswerForm, RepeatRule, SILENT_RELAY_LOG, createConfigurationState, digestKey, type ConfigurationState, type RelayConfiguration,
  type Route
} from '@wigeonlead/relay'
import { testEngine } from './test-engine.js'

/** @returns a route with default values; the given fields replace them. */
export function testRoute (name: string, overrides: Partial<Route> = {}): Route {
  return {
    name,
    host: 'a.example',
    pathPrefix: `/${name}/`,
    repeat: RepeatRule.Idempotent,
    form: AnswerForm.SingleBody,
    isResumable: false,
    services: [{ name: 'desk', weight: 1 }],
    maximumTargets: 2,
    timeoutMilliseconds: 1000,
    latencyObjectiveMilliseconds: 100,
    priority: 1,
    isAnonymous: false,
    ...overrides
  }
}

/**
 * @returns a configuration with one API key and three routes: an idempotent one, one whose requests run at most once, and a resumable event
 * stream. The given fields replace the default ones.
 */
export function testConfiguration (version: number, overrides: Partial<RelayConfiguration> = {}): RelayConfiguration {
  return {
    version,
    routes: [
      testRoute('look'),
      testRoute('book', { repeat: RepeatRule.AtMostOnce, maximumTargets: 1 }),
      testRoute('write', {
        repeat: RepeatRule.AtMostOnce, form: AnswerForm.Events, isResumable: true, services: [{ name: 'model', weight: 1 }], timeoutMilliseconds: 5000
      })
    ],
    services: new Map([
      ['desk', { name: 'desk', healthPath: '/health', maximumConnections: 10 }],
      ['model', { name: 'model', healthPath: '/health', maximumConnections: 10, engine: testEngine() }]
    ]),
    limits: { headerBytes: 4096, bodyBytes: 1000, headerTimeoutMilliseconds: 1000, idleTimeoutMilliseconds: 5000 },
    workspacesByKeyDigest: new Map([[digestKey('key-1'), { name: 'desk-team' }]]),
    ...overrides
  }
}

/** @returns a configuration state whose texts are, by default, the version numbers of `testConfiguration`. */
export function testConfigurationState (
  revokeMilliseconds = 5000, decode = (text: string): RelayConfiguration => testConfiguration(Number(text))
): ConfigurationState {
  return createConfigurationState({ decode, log: SILENT_RELAY_LOG, revokeMilliseconds })
}
