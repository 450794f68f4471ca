/**
 * Rendezvous (highest random weight) hashing: all entries with the same
 * members rank them alike for a key, and a change of one member moves only the
 * keys that it gains or loses. Source: Thaler and Ravishankar, 1998.
 */
/* eslint-disable no-bitwise -- a 32-bit hash is made of bit operations */

const fnvOffset = 0x81_1c_9d_c5;
const fnvPrime = 0x01_00_01_93;

/** FNV-1a over the code units, then the finalizer of MurmurHash3. */
const hashText = (text: string): number => {
	let hash = fnvOffset;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ (text.codePointAt(index) ?? 0), fnvPrime);
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
	return (hash ^ (hash >>> 16)) >>> 0;
};

/** Ranks members for a key, highest first; equal hashes by name. */
export const rankMembers = (
	key: string,
	members: readonly string[],
): readonly string[] =>
	members
		.map((member) => ({member, hash: hashText(`${key}\n${member}`)}))
		.toSorted((a, b) => b.hash - a.hash || (a.member < b.member ? -1 : 1))
		.map((each) => each.member);

/** Returns the highest ranked member for a key, or undefined if none. */
export const pickMember = (
	key: string,
	members: readonly string[],
): string | undefined => rankMembers(key, members)[0];
