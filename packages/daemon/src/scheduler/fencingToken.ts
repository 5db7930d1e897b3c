/** Adoptions of one worker that an epoch has room for. */
const ADOPTIONS_PER_EPOCH = 2 ** 20

/** Returns the token of the nth adoption of a worker under a shard epoch. Exact up to epoch 2^32. */
export function fencingTokenOf (epoch: number, adoption: number): number {
  return epoch * ADOPTIONS_PER_EPOCH + adoption
}

export function epochOfToken (fencingToken: number): number {
  return Math.floor(fencingToken / ADOPTIONS_PER_EPOCH)
}
