/**
 * Stores the manifest parts that the retained heads of a node consist of. Missing parts are fetched from peers or the key-value
 * service.
 */
import {
  CONFIGURATION_PART_PREFIX, PeerMethod, digestText, type ConfigurationHead, type KeyValuePort, type ManifestPartContent, type PeerPort
} from '@wigeonlead/protocol'

/** The manifest parts stored at a node. */
export interface PartStore {
  /** Fetches the missing parts of a head: first from `peer` if given, then from the key-value service, then from `fallbackPeers`. */
  fetch: (head: ConfigurationHead, peer: string | undefined, fallbackPeers: string[]) => Promise<PartFetch>
  /** @returns the stored parts among those with the given digests. */
  find: (digests: string[]) => ManifestPartContent[]
  /** Deletes all parts except those of the given heads. */
  retain: (heads: ConfigurationHead[]) => void
}

/** All parts of a head, in order, or the digest of one that could not be fetched. */
export type PartFetch = { contents: string[] } | { missing: string }

const PARTS_PER_CALL = 8
const MAXIMUM_CONCURRENT_READS = 8
const CALL_DEADLINE_MILLISECONDS = 2000

/** Creates an empty store. */
export function createPartStore (keyValue: KeyValuePort, peers: PeerPort): PartStore {
  const contents = new Map<string, string>()

  function findMissing (digests: string[]): string[] {
    return [...new Set(digests)].filter(digest => !contents.has(digest))
  }

  function storeIfValid (digest: string, content: string | undefined): void {
    if (content !== undefined && digestText(content) === digest) contents.set(digest, content)
  }

  async function fetchFromPeer (digests: string[], peer: string): Promise<void> {
    for (let start = 0; start < digests.length; start += PARTS_PER_CALL) {
      const wanted = digests.slice(start, start + PARTS_PER_CALL)
      const outcome = await peers.call(peer, PeerMethod.ConfigurationParts, { digests: wanted }, CALL_DEADLINE_MILLISECONDS)
      if (!outcome.ok || outcome.value.parts.length === 0) return
      for (const part of outcome.value.parts) {
        if (wanted.includes(part.digest)) storeIfValid(part.digest, part.content)
      }
    }
  }

  async function fetchFromKeyValue (digests: string[]): Promise<void> {
    const remaining = [...digests]
    async function fetchRemaining (): Promise<void> {
      for (let digest = remaining.pop(); digest !== undefined; digest = remaining.pop()) {
        const read = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
        if (!read.ok) return
        storeIfValid(digest, read.value.entry?.value)
      }
    }
    await Promise.all(Array.from({ length: MAXIMUM_CONCURRENT_READS }, fetchRemaining))
  }

  return {
    async fetch (head, peer, fallbackPeers) {
      const steps = [
        ...(peer === undefined ? [] : [() => fetchFromPeer(findMissing(head.parts), peer)]),
        () => fetchFromKeyValue(findMissing(head.parts)),
        ...fallbackPeers.map(fallbackPeer => () => fetchFromPeer(findMissing(head.parts), fallbackPeer))
      ]
      for (const step of steps) {
        if (findMissing(head.parts).length > 0) await step()
      }
      const firstMissing = findMissing(head.parts)[0]
      return firstMissing === undefined ? { contents: head.parts.map(digest => contents.get(digest) ?? '') } : { missing: firstMissing }
    },
    find: digests => digests.flatMap(digest => {
      const content = contents.get(digest)
      return content === undefined ? [] : [{ digest, content }]
    }),
    retain (heads) {
      const neededDigests = new Set(heads.flatMap(head => head.parts))
      for (const digest of [...contents.keys()]) {
        if (!neededDigests.has(digest)) contents.delete(digest)
      }
    }
  }
}
