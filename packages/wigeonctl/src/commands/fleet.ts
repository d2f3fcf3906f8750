/**
 * `wigeonctl fleet`: shows the state of the relays of a fleet, read from their metrics listeners.
 */
import { get } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import { ExitCode, type CommandOutput } from '../tool.js'

/** State of one relay, as its metrics show it. */
export interface RelayState {
  address: string
  /** Version of the configuration in force at the relay. */
  version: number
  /** Time since the relay last confirmed that this version is the newest one; infinite if it never has. */
  beliefAgeSeconds: number
  isCoordinator: boolean
  streamsUnderWay: number
  answered: number
  /** Refused requests by reason. */
  refused: Record<string, number>
}

type RelayResult = RelayState | { address: string, unreachable: string }

/** One line of the Prometheus text format. */
interface Sample {
  name: string
  labels: Record<string, string>
  value: number
}

/** Timeout of a metrics request, milliseconds. Relays normally answer within a few milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 2000
const MAX_ANSWER_BYTES = 1_048_576
/**
 * Maximum time since a relay last confirmed its version, seconds; it spans several poll intervals of the store. A relay that exceeds it is
 * stale: it receives updates neither from the store nor from peers.
 */
const MAX_BELIEF_AGE_SECONDS = 3
const METRIC_PREFIX = 'wigeonlead_'

/**
 * Reads the metrics of relays. Returns exit code 1 when a relay can't be reached, has an older configuration version than another
 * relay or is stale, or when there are several coordinators.
 * @param addresses `IP:PORT` of the metrics listeners.
 */
export async function fleetCommand (addresses: readonly string[]): Promise<CommandOutput> {
  const answers = await Promise.all(addresses.map(readRelay))
  const relays = answers.filter((answer): answer is RelayState => 'version' in answer)
  const newestVersion = Math.max(0, ...relays.map(({ version }) => version))
  const faults = [
    ...answers.flatMap(answer => 'unreachable' in answer ? [`${answer.address} could not be reached: ${answer.unreachable}`] : []),
    ...relays.filter(({ version }) => version < newestVersion).map(({ address, version }) => `${address} has version ${version}, not ${newestVersion}`),
    ...relays.filter(({ beliefAgeSeconds }) => !(beliefAgeSeconds <= MAX_BELIEF_AGE_SECONDS))
      .map(({ address, beliefAgeSeconds }) => `${address} last confirmed its version ${beliefAgeSeconds} s ago`),
    ...(relays.filter(({ isCoordinator }) => isCoordinator).length > 1 ? ['several relays hold the coordinator\'s lease'] : [])
  ]
  const text = [`version ${newestVersion}; ${relays.length} of ${addresses.length} relays answered`, ...relays.map(describeRelay), ...faults].join('\n')
  const code = faults.length === 0 && relays.length > 0 ? ExitCode.Success : ExitCode.Failed
  return { code, text, value: { version: newestVersion, relays, faults } }
}

async function readRelay (address: string): Promise<RelayResult> {
  try {
    return toRelayState(address, readSamples(await readMetricsText(address)))
  } catch (error) {
    return { address, unreachable: (error as Error).message }
  }
}

function readMetricsText (address: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = get(`http://${address}/metrics`, { agent: false, timeout: ANSWER_TIMEOUT_MILLISECONDS }, response => {
      readAnswer(response, MAX_ANSWER_BYTES).then(body => resolve(body.toString()), reject)
    })
    request.on('timeout', () => request.destroy(new Error('no answer in time')))
    request.on('error', reject)
  })
}

function readSamples (text: string): Sample[] {
  return text.split('\n').flatMap(line => {
    const [, name, labels = '', value] = /^([a-z_]+)(\{.*\})? (\S+)$/.exec(line) ?? []
    if (name === undefined || !name.startsWith(METRIC_PREFIX)) return []
    const pairs = [...labels.matchAll(/([a-z_]+)=("(?:[^"\\]|\\.)*")/g)].map(([, key, quoted]) => [key!, JSON.parse(quoted!) as string])
    return [{ name: name.slice(METRIC_PREFIX.length), labels: Object.fromEntries(pairs) as Record<string, string>, value: Number(value) }]
  })
}

function toRelayState (address: string, samples: readonly Sample[]): RelayState {
  const samplesNamed = (name: string): Sample[] => samples.filter(sample => sample.name === name)
  const readGauge = (name: string): number => {
    const [sample] = samplesNamed(name)
    if (sample === undefined) throw new Error(`found no ${METRIC_PREFIX}${name}, wanted the metrics of a relay`)
    return sample.value
  }
  const refused: Record<string, number> = {}
  for (const { labels, value } of samplesNamed('requests_refused_total')) {
    const reason = labels.reason ?? 'unknown'
    refused[reason] = (refused[reason] ?? 0) + value
  }
  return {
    address,
    version: readGauge('configuration_version'),
    beliefAgeSeconds: readGauge('belief_age_seconds'),
    isCoordinator: readGauge('is_coordinator') === 1,
    streamsUnderWay: readGauge('streams_under_way'),
    answered: samplesNamed('requests_answered_total').reduce((sum, { value }) => sum + value, 0),
    refused
  }
}

function describeRelay (relay: RelayState): string {
  const refused = Object.entries(relay.refused).map(([reason, count]) => `${reason} ${count}`).join(', ')
  const fields = [
    relay.address, `version ${relay.version}`, `confirmed ${relay.beliefAgeSeconds.toFixed(1)} s ago`, `${relay.streamsUnderWay} streams`,
    `answered ${relay.answered}`, `refused ${refused === '' ? 'none' : refused}`
  ]
  return fields.concat(relay.isCoordinator ? ['coordinator'] : []).join('  ')
}
